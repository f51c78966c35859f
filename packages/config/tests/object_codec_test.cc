#include <string>

#include <catch2/catch.hpp>

#include "vanillalever/config/object_codec.h"

namespace vanillalever::config {
namespace {

// Guards against objects that change on their way through the canonical form.
TEST_CASE("an object survives encoding and parsing") {
  Pool pool;
  pool.name = "desk";
  pool.place = "north";
  pool.kind = PoolKind::kService;
  pool.service = "desk-app";
  pool.operations = {{"read_lot", true, 5, std::chrono::milliseconds(250)},
                     {"pay", false, 0, std::chrono::milliseconds(0)}};
  ParsedObjects parsed = ParseObjects(EncodeObject(pool), "text");
  CHECK(parsed.errors.empty());
  REQUIRE(parsed.objects.size() == 1);
  CHECK(parsed.objects[0] == Object(pool));
}

}  // namespace
}  // namespace vanillalever::config
