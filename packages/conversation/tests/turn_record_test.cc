#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "vanillalever/base/random.h"
#include "vanillalever/conversation/turn.h"
#include "vanillalever/conversation/turn_record.h"

namespace vanillalever::conversation {
namespace {

TurnPtr MakeTurn(std::string id,
                 TurnPtr previous,
                 std::string input,
                 std::string output) {
  auto turn = std::make_shared<Turn>();
  turn->id = std::move(id);
  turn->previous = std::move(previous);
  turn->input = std::move(input);
  turn->output = std::move(output);
  return turn;
}

std::string RandomBytes(base::Random& random, std::size_t size) {
  std::string bytes;
  for (std::size_t i = 0; i < size; ++i)
    bytes += static_cast<char>(random.Below(256));
  return bytes;
}

// Guards against a server that receives another prompt than the conversation.
TEST_CASE("the history holds inputs and outputs, oldest first") {
  TurnPtr first = MakeTurn("a", nullptr, "in1", "out1\n");
  TurnPtr second = MakeTurn("b", first, "in2", "out2\nout3\n");
  CHECK(History(nullptr).empty());
  CHECK(History(second.get()) == "in1out1\nin2out2\nout3\n");
}

// Guards against bytes that a record does not return as they were.
TEST_CASE("a record of any bytes is decoded as it was encoded") {
  base::Random random(7);
  for (std::size_t size : {0, 1, 700, 26'000, 200'000}) {
    TurnRecord record;
    record.ancestors = {"40c8f1a7b3e9265d", "x"};
    record.input = RandomBytes(random, size);
    record.output = RandomBytes(random, size / 2);
    auto rows = SplitIntoRows(EncodeTurnRecord(record), 48 << 10);
    for (const std::string& row : rows)
      CHECK(row.size() <= 48 << 10);
    auto encoded = JoinRows(rows);
    REQUIRE(encoded);
    CHECK(DecodeTurnRecord(*encoded) == record);
  }
}

// Guards against a record that is used although a row of it is missing.
TEST_CASE("rows of an incomplete record are refused") {
  auto rows = SplitIntoRows(std::string(1000, 'x'), 300);
  REQUIRE(rows.size() == 4);
  rows.pop_back();
  CHECK_FALSE(JoinRows(rows));
  CHECK_FALSE(JoinRows({}));
  CHECK_FALSE(JoinRows({"no count"}));
}

// Guards against a crash or an endless loop on rows written by others.
TEST_CASE("damaged records are refused or decoded, never fatal") {
  TurnRecord record;
  record.ancestors = {"a", "b"};
  record.input = std::string(200, 'i');
  record.output = "out\n";
  std::string encoded = EncodeTurnRecord(record);
  base::Random random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = encoded;
    for (std::uint64_t k = 0; k <= random.Below(4); ++k)
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
    damaged.resize(damaged.size() - random.Below(damaged.size()));
    DecodeTurnRecord(damaged);
  }
}

// Guards against records that grow with the length of the conversation.
TEST_CASE("a record names a bounded number of ancestors") {
  TurnPtr turn;
  for (int i = 0; i < 250; ++i)
    turn = MakeTurn(std::to_string(i), turn, "i", "o\n");
  TurnRecord record = MakeTurnRecord(*turn);
  REQUIRE(record.ancestors.size() == kMaxRecordAncestors);
  CHECK(record.ancestors.front() == "248");
}

}  // namespace
}  // namespace vanillalever::conversation
