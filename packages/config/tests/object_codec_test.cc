#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sample_objects.h"
#include "vanillalever/config/object_codec.h"

namespace vanillalever::config {
namespace {

using nlohmann::json;

// An invalid field of an object and the expected error.
struct InvalidField {
  std::string object;
  // JSON pointer of the field, and its invalid value; "remove" removes it.
  std::string pointer;
  json value;
  // Path in the error.
  std::string field;
  // Substring of the error message.
  std::string expected;
};

constexpr char kRemove[] = "remove";

ConfigErrors ErrorsOf(const InvalidField& bad) {
  std::string text = EditedText(bad.object, [&bad](json& value) {
    json::json_pointer pointer(bad.pointer);
    if (bad.value == kRemove)
      value[pointer.parent_pointer()].erase(pointer.back());
    else
      value[pointer] = bad.value;
  });
  ParsedObjects parsed = ParseObjects(text, "file");
  CHECK(parsed.objects.empty());
  return parsed.errors;
}

// Guards against objects that change when encoded in the canonical form and
// parsed again.
TEST_CASE("objects round-trip through their encoding") {
  ParsedObjects parsed = ParseObjects(SampleSet().Encode(), "text");
  CHECK(parsed.errors.empty());
  CHECK(parsed.objects == SampleSet().Objects());
}

// Guards against an invalid field that is accepted or reported without its
// location.
TEST_CASE("each error names the object, the field and what was expected") {
  const std::vector<InvalidField> invalid_fields = {
      {"budget/small", "/tokens", 0, "tokens", "an integer from 1 to"},
      {"budget/small", "/tokens", "5", "tokens", "found string \"5\""},
      {"budget/small", "/tokens", 1.5, "tokens", "an integer"},
      {"budget/small", "/tokens", UINT64_MAX, "tokens", "an integer"},
      {"budget/small", "/tokens", -1, "tokens", "an integer"},
      {"budget/small", "/tokens", kRemove, "tokens", "this field, found none"},
      {"budget/small", "/scope", "team", "scope",
       "one of program, organisation"},
      {"budget/small", "/size", 1, "size", "no such field; known are name"},
      {"organisation/north", "/token_hashes", json::array(), "token_hashes",
       "1 to 1000 elements, found 0"},
      {"organisation/north", "/token_hashes", "x", "token_hashes", "a list"},
      {"organisation/north", "/classes", {"a", "a"}, "classes[1]", "only once"},
      {"organisation/north", "/classes", {"A b"}, "classes[0]", "a name of"},
      {"program_class/check", "/limits", 3, "limits", "a JSON object"},
      {"program_class/check", "/limits/turns", 0, "limits.turns", "from 1 to"},
      {"program_class/check", "/limits/turns", kRemove, "limits.turns",
       "this field"},
      {"program_class/check", "/limits/depth", 1, "limits.depth",
       "no such field"},
      {"program_class/check", "/short_work", 1, "short_work", "true or false"},
      {"program_class/check", "/default_deadline_ms", 0, "default_deadline_ms",
       "from 1 to"},
      {"pool/engines", "/type", "disk", "type", "one of engine, service"},
      {"pool/engines", "/servers/1/address", "10.0.0.1", "servers[1].address",
       "host:port"},
      {"pool/engines", "/servers/1/address", "10.0.0.1:70000",
       "servers[1].address", "a port from 1 to 65535"},
      {"pool/desk", "/operations/1/repeatable", kRemove,
       "operations[1].repeatable", "this field"},
      {"pool/desk", "/operations", json::array(), "operations",
       "1 to 1000 elements"},
      {"pool/engines", "/model", "a\nb", "model", "without control"},
      {"priority/urgent", "/reserved_share", 1.5, "reserved_share",
       "a number from 0 to 1"},
      {"priority/urgent", "/rank", -1, "rank", "from 0 to 1000"},
      {"place/coast", "/data_centres", json::array(), "data_centres",
       "1 to 1000 elements"},
      {"place/coast", "/distances/0/ms", "far", "distances[0].ms",
       "a number from 0"},
  };
  for (const InvalidField& bad : invalid_fields) {
    INFO(bad.object << " " << bad.pointer << " " << bad.value);
    ConfigErrors errors = ErrorsOf(bad);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].object == bad.object);
    CHECK(errors[0].field == bad.field);
    CHECK_THAT(errors[0].expected, Catch::Contains(bad.expected));
  }
}

// Guards against logging a token that was entered in place of its hash.
TEST_CASE("a message does not quote a malformed token hash") {
  ConfigErrors errors =
      ErrorsOf({"organisation/north", "/token_hashes", {"secret"}, "", ""});
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].field == "token_hashes[0]");
  CHECK(errors[0].expected.find("secret") == std::string::npos);
}

// Guards against reporting only the first error, so that operators fix one per
// attempt.
TEST_CASE("all errors of a document are reported") {
  ParsedObjects parsed = ParseObjects(
      R"([{"kind":"budget","name":"a","scope":"x","tokens":0},
          {"kind":"disk","name":"b"}, 7, {"name":"c"},
          {"kind":"budget","name":"Bad","scope":"program","tokens":5}])",
      "file");
  std::vector<std::string> locations;
  for (const ConfigError& error : parsed.errors)
    locations.push_back(error.object + " " + error.field);
  CHECK(locations == std::vector<std::string>{
                         "budget/a scope", "budget/a tokens", "file[1] kind",
                         "file[2] ", "file[3] kind", "file[4] name"});
}

// Guards against malformed documents that the library accepts, and against
// nesting that exhausts the stack.
TEST_CASE("documents that are not plain JSON are rejected") {
  struct Case {
    std::string text;
    std::string field;
    std::string expected;
  };
  const std::vector<Case> cases = {
      {"", "", "JSON, found"},
      {"{\"kind\":", "", "JSON, found"},
      {"{\"kind\":\"budget\",\"kind\":\"pool\"}", "kind", "only once"},
      {"{\"a\":\"\xff\"}", "", "JSON, found"},
      {"[1e999]", "", "JSON, found"},
      {std::string(100000, '['), "", "nesting of at most 16 levels"},
      {std::string(kMaxDocumentBytes + 1, ' '), "", "at most 16777216 bytes"},
  };
  for (const Case& bad : cases) {
    INFO(bad.text.substr(0, 50));
    ParsedObjects parsed = ParseObjects(bad.text, "file");
    REQUIRE(parsed.errors.size() == 1);
    CHECK(parsed.errors[0].object == "file");
    CHECK(parsed.errors[0].field == bad.field);
    CHECK_THAT(parsed.errors[0].expected, Catch::Contains(bad.expected));
  }
}

// Guards against input that crashes the parser, is accepted in part, or is
// rejected without a reason.
TEST_CASE("mutated documents are accepted or rejected with a reason") {
  constexpr int kRounds = 20000;
  constexpr std::uint64_t kSeed = 20260104;
  base::Random random(kSeed);
  const std::string text = SampleSet().Encode();
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string mutated = Mutate(text, random);
    INFO("seed " << kSeed << " round " << round << ": " << mutated);
    ParsedObjects parsed = ParseObjects(mutated, "file");
    if (!parsed.errors.empty())
      continue;
    ++accepted;
    // Accepted objects are unchanged after another round trip.
    BuiltSet built = BuildSet(parsed.objects);
    ParsedObjects again = ParseObjects(built.set.Encode(), "file");
    REQUIRE(again.errors.empty());
    REQUIRE(again.objects == built.set.Objects());
    built.set.Validate();
  }
  CHECK(accepted > 0);
  CHECK(accepted < kRounds / 2);
}

}  // namespace
}  // namespace vanillalever::config
