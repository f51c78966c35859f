#ifndef VANILLALEVER_CONFIG_TESTS_SAMPLE_OBJECTS_H_
#define VANILLALEVER_CONFIG_TESTS_SAMPLE_OBJECTS_H_

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "vanillalever/config/config_set.h"
#include "vanillalever/config/object_codec.h"
#include "vanillalever/config/token_verifier.h"

namespace vanillalever::config {

// Valid set with one object of each kind or two where kinds refer to each
// other; tests break one part of it at a time.
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

// Errors as one text, so that a failed check shows them.
inline std::string Text(const ConfigErrors& errors) {
  std::string text;
  for (const ConfigError& error : errors)
    text += Describe(error) + "\n";
  return text;
}

// Applies `edit` to the JSON form of an object of SampleSet.
inline std::string EditedText(
    const std::string& id,
    const std::function<void(nlohmann::json&)>& edit) {
  auto object = SampleSet().Find(ParseObjectId(id).value());
  auto value = nlohmann::json::parse(EncodeObject(object.value()));
  edit(value);
  return value.dump();
}

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_TESTS_SAMPLE_OBJECTS_H_
