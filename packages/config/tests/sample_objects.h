#ifndef VANILLALEVER_CONFIG_TESTS_SAMPLE_OBJECTS_H_
#define VANILLALEVER_CONFIG_TESTS_SAMPLE_OBJECTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/config/config_set.h"
#include "vanillalever/config/object_codec.h"
#include "vanillalever/config/token_verifier.h"

namespace vanillalever::config {

// Valid set with one or two objects of each kind; each test invalidates one
// part of it.
inline ConfigSet SampleSet() {
  using std::chrono::milliseconds;
  ConfigSet set;
  set.Put(Organisation{"north", {HashToken("token")}, {"check"}, "total"});
  set.Put(ProgramClass{"check",
                       "north",
                       "urgent",
                       {"engines", "desk"},
                       "small",
                       {10, milliseconds(5000), 500},
                       true,
                       100,
                       milliseconds(1000)});
  set.Put(Budget{"total", BudgetScope::kOrganisation, 1000});
  set.Put(Budget{"small", BudgetScope::kProgram, 200});
  Pool engines;
  engines.name = "engines";
  engines.place = "coast";
  engines.servers = {{"10.0.0.1:80", "a"}, {"10.0.0.2:80", "b"}};
  engines.operations = {{"chat", true, 0, milliseconds(0)}};
  engines.model = "m";
  engines.max_tokens_per_call = 50;
  set.Put(engines);
  Pool desk;
  desk.name = "desk";
  desk.place = "coast";
  desk.kind = PoolKind::kService;
  desk.service = "desk-app";
  desk.operations = {{"read", true, 1, milliseconds(100)},
                     {"pay", false, 2, milliseconds(0)}};
  set.Put(desk);
  set.Put(Priority{"urgent", 0, 0.25, milliseconds(100)});
  set.Put(Priority{"rest", 1, 0, milliseconds(1000)});
  set.Put(Place{"coast", "west", {"a", "b"}, {{"a", "b", 1.5}}, 3});
  return set;
}

// Errors as one string, so that a failed check prints them.
inline std::string Text(const ConfigErrors& errors) {
  std::string text;
  for (const ConfigError& error : errors)
    text += Describe(error) + "\n";
  return text;
}

// Applies `edit` to the JSON encoding of an object of SampleSet.
inline std::string EditedText(
    const std::string& id,
    const std::function<void(nlohmann::json&)>& edit) {
  auto object = SampleSet().Find(ParseObjectId(id).value());
  auto value = nlohmann::json::parse(EncodeObject(object.value()));
  edit(value);
  return value.dump();
}

// Randomly replaces, inserts, removes or copies bytes.
inline std::string Mutate(std::string text, base::Random& random) {
  constexpr std::string_view kBytes = "{}[]\",:0123456789-.eEtrufalsn\\ \xff";
  std::uint64_t edits = 1 + random.Below(4);
  for (std::uint64_t i = 0; i < edits && !text.empty(); ++i) {
    std::size_t at = random.Below(text.size());
    std::size_t length = 1 + random.Below(20);
    switch (random.Below(4)) {
      case 0:
        text[at] = kBytes[random.Below(kBytes.size())];
        break;
      case 1:
        text.insert(at, 1, kBytes[random.Below(kBytes.size())]);
        break;
      case 2:
        text.erase(at, length);
        break;
      default:
        text.insert(random.Below(text.size()), text.substr(at, length));
    }
  }
  return text;
}

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_TESTS_SAMPLE_OBJECTS_H_
