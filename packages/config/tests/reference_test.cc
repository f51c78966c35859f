#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <catch2/catch.hpp>

#include "sample_objects.h"
#include "vanillalever/config/config_set.h"
#include "vanillalever/config/object_codec.h"

namespace vanillalever::config {
namespace {

namespace fs = std::filesystem;

// The tests run in the root directory of the sources.
std::string ReadText(const fs::path& path) {
  std::ifstream stream(path);
  REQUIRE(stream);
  return {std::istreambuf_iterator<char>(stream), {}};
}

// Section of the reference documentation about one kind.
std::string Section(const std::string& text, Kind kind) {
  std::string title = "\n## " + std::string(kKindNames.name(kind)) + "\n";
  std::size_t begin = text.find(title);
  REQUIRE(begin != std::string::npos);
  return text.substr(begin, text.find("\n## ", begin + 1) - begin);
}

ConfigSet LoadFolder(const fs::path& folder) {
  std::vector<Object> objects;
  for (const auto& entry : fs::directory_iterator(folder)) {
    ParsedObjects parsed =
        ParseObjects(ReadText(entry.path()), entry.path().filename().string());
    CHECK_THAT(Text(parsed.errors), Catch::Equals(""));
    objects.insert(objects.end(), parsed.objects.begin(), parsed.objects.end());
  }
  BuiltSet built = BuildSet(objects);
  CHECK_THAT(Text(built.errors), Catch::Equals(""));
  return built.set;
}

void CheckPool(const ConfigSet& set, const std::string& name, int servers) {
  const Pool* pool = set.Find<Pool>(name);
  REQUIRE(pool != nullptr);
  CHECK(pool->service == name);
  CHECK(pool->expected_servers == servers);
}

void CheckRepeatable(const ConfigSet& set,
                     const std::string& pool,
                     const std::string& operation,
                     bool repeatable) {
  const Operation* found = set.Find<Pool>(pool)->operation(operation);
  REQUIRE(found != nullptr);
  CHECK(found->repeatable == repeatable);
}

// Guards against undocumented fields.
TEST_CASE("the reference describes every field that the parser accepts") {
  std::string text = ReadText("packages/config/README.md");
  for (std::size_t i = 0; i < kKindCount; ++i) {
    Kind kind = static_cast<Kind>(i);
    std::string section = Section(text, kind);
    std::size_t rows = 0;
    for (const FieldInfo& field : FieldsOf(kind)) {
      INFO(kKindNames.name(kind) << " " << field.path);
      CHECK(section.find("\n| `" + field.path + "` |") != std::string::npos);
      ++rows;
    }
    // The table has no rows for unknown fields.
    std::size_t described = 0;
    for (std::size_t at = section.find("\n| `"); at != std::string::npos;
         at = section.find("\n| `", at + 1))
      ++described;
    CHECK(described == rows);
  }
}

// Guards against samples that an entry would reject, or that differ in size
// from the deployments they represent.
TEST_CASE("the samples are valid and have the deployments' sizes") {
  fs::path samples = "samples";
  ConfigSet casca = LoadFolder(samples / "casca");
  CHECK_THAT(Text(casca.Validate()), Catch::Equals(""));
  CheckPool(casca, "agent-models", 15);
  CheckPool(casca, "ticket-app", 30);
  CheckRepeatable(casca, "ticket-app", "read_lot", true);
  CheckRepeatable(casca, "ticket-app", "record_weighing", false);
  CheckRepeatable(casca, "ticket-app", "pay_grower", false);
  CHECK(casca.Find<Place>("pt-norte")->data_centres.size() == 3);
  ConfigSet tan = LoadFolder(samples / "tan");
  CHECK_THAT(Text(tan.Validate()), Catch::Equals(""));
  CheckPool(tan, "model-bench", 10);
  CheckPool(tan, "shop-app", 30);
  CheckRepeatable(tan, "shop-app", "read_order", true);
  CheckRepeatable(tan, "shop-app", "refund", false);
  CheckRepeatable(tan, "shop-app", "book_courier", false);
  CHECK(tan.Find<Place>("klang-valley")->data_centres.size() == 3);
  // One system can serve both deployments.
  for (const Object& object : tan.Objects()) {
    CHECK_FALSE(casca.Find(IdOf(object)).has_value());
    casca.Put(object);
  }
  CHECK_THAT(Text(casca.Validate()), Catch::Equals(""));
}

}  // namespace
}  // namespace vanillalever::config
