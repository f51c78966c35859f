#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <vector>

#include "vanillalever/organisation/key_directory.h"

namespace vanillalever::organisation {
namespace {

Organisation MakeOrganisation(std::string name, std::vector<std::string> keys) {
  Organisation organisation;
  organisation.name = std::move(name);
  organisation.keys = std::move(keys);
  return organisation;
}

// Guards against a key that opens another organisation, or none, whatever the
// number of keys.
TEST_CASE("each key finds its own organisation") {
  for (std::size_t count : {1, 3, 100, 5'000}) {
    std::vector<Organisation> organisations;
    for (std::size_t i = 0; i < count; ++i) {
      std::string text = std::to_string(i);
      organisations.push_back(
          MakeOrganisation(text, {"key-" + text, text + "-other"}));
    }
    KeyDirectory directory(organisations, count);
    CHECK(directory.size() == 2 * count);
    for (std::size_t i = 0; i < count; ++i) {
      std::string text = std::to_string(i);
      REQUIRE(directory.Find(Credential::OfKey("key-" + text)) == i);
      REQUIRE(directory.Find(Credential::OfKey(text + "-other")) == i);
      REQUIRE_FALSE(directory.Find(Credential::OfKey("key" + text)));
    }
  }
}

// Guards against credentials that are taken for a key: none, several, an empty
// one, a part of one, one with further bytes.
TEST_CASE("nothing but a whole key finds an organisation") {
  std::vector<Organisation> organisations = {MakeOrganisation(
      "a", {"f75rjvz4", "", std::string("with\0zero", 9), "h\xc3\xa9"})};
  KeyDirectory directory(organisations, 7);
  CHECK(directory.Find(Credential::OfKey("f75rjvz4")) == 0u);
  CHECK(directory.Find(Credential::OfKey(std::string("with\0zero", 9))) == 0u);
  CHECK(directory.Find(Credential::OfKey("h\xc3\xa9")) == 0u);
  CHECK_FALSE(directory.Find(Credential()));
  CHECK_FALSE(directory.Find(Credential::Malformed()));
  for (std::string text :
       {"", "f75rjvz", "f75rjvz4 ", "F75RJVZ4", "with", "f75rjvz4f75rjvz4"})
    CHECK_FALSE(directory.Find(Credential::OfKey(text)));
  CHECK_FALSE(directory.Find(Credential::OfKey(std::string(16 << 10, 'f'))));
  CHECK_FALSE(KeyDirectory().Find(Credential::OfKey("f75rjvz4")));
}

// Guards against a key that changes its holder with the order of a table, and
// against keys that stay readable in the configuration.
TEST_CASE("the first organisation keeps a key that two name") {
  std::vector<Organisation> organisations = {
      MakeOrganisation("a", {"one", "both"}),
      MakeOrganisation("b", {"both", "", "two"})};
  KeyDirectory directory(organisations, 7);
  CHECK(directory.Find(Credential::OfKey("both")) == 0u);
  CHECK(directory.Find(Credential::OfKey("two")) == 1u);
  CHECK(directory.size() == 3);
  CHECK(directory.ignored_keys() == 2);
  CHECK(organisations[0].keys.empty());
  CHECK(organisations[1].keys.empty());
}

}  // namespace
}  // namespace vanillalever::organisation
