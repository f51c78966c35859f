#include "vanillalever/program/program_codec.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "program_fixture.h"
#include "vanillalever/base/random.h"

namespace vanillalever::program {
namespace {

using nlohmann::json;

ProgramHead MakeHead() {
  ProgramHead head;
  head.spec = MakeSpec(1000);
  head.last_turn = 2;
  head.elapsed = base::milliseconds(1234);
  head.budget = {1000, 80, 300, 200};
  head.open = OpenTurn{MakeCall(3, false), {2, MakeTarget("t3"), 100}};
  head.holders = {{"10.0.0.1:7000", "s1"}, {"10.0.0.2:7000", "s2"}};
  head.children = {{ProgramId::ForChild(head.spec.id, "casca", "child"), 200}};
  return head;
}

std::string HeadKey() {
  return ProgramCodec::HeadKey(MakeSpec().id);
}

TurnRecord MakeRecord(std::string body) {
  return {2, "fingerprint-2", "models", "chat", MakeAnswer(std::move(body))};
}

// Guards against several spellings of one id or row key.
TEST_CASE("program ids and row keys are parsed strictly") {
  ProgramId id = ProgramId::ForRoot("casca", "lot-7");
  CHECK(ProgramId::Parse(id.text()) == id);
  CHECK(id.shard() < kShardCount);
  CHECK(ProgramId::ForRoot("cascal", "ot-7") != id);
  ProgramId child = ProgramId::ForChild(id, "casca", "child");
  CHECK(child.shard() == id.shard());
  std::string hash(32, 'a');
  for (const std::string& text :
       {std::string(), std::string("."), "64." + hash, "01." + hash,
        "-1." + hash, "+1." + hash, "1." + hash + "a", "1." + hash.substr(1),
        "1." + std::string(32, 'A'), "1 ." + hash, hash})
    CHECK(CodeOf([&] { ProgramId::Parse(text); }) == "invalid_request");
  CHECK(ProgramCodec::ParseKey(ProgramCodec::TurnKey(id, 12)).turn == 12);
  CHECK_FALSE(ProgramCodec::ParseKey(HeadKey()).turn);
  std::string prefix = ProgramCodec::ShardPrefix(id.shard()) + id.text();
  for (const std::string& key :
       {std::string("prog/"), prefix, prefix + "/t/0", prefix + "/t/01",
        prefix + "/t/4294967296", prefix + "/t/1/", prefix + "/head/",
        prefix + "/x/1", "prog/65/" + id.text() + "/head"})
    CHECK(CodeOf([&] { ProgramCodec::ParseKey(key); }) == "invalid_request");
}

// Guards against state that is lost when ownership changes.
TEST_CASE("encoded rows decode to the same content") {
  ProgramHead head = MakeHead();
  std::string text = ProgramCodec::EncodeHead(head);
  ProgramHead read = ProgramCodec::DecodeHead(HeadKey(), text);
  CHECK(ProgramCodec::EncodeHead(read) == text);
  CHECK(read.spec == head.spec);
  CHECK(read.budget == head.budget);
  CHECK(read.open->intent == head.open->intent);
  CHECK(read.children == head.children);
  std::string key = ProgramCodec::TurnKey(head.spec.id, 2);
  for (const std::string& body :
       {std::string(), std::string("S\xc3\xa3o \"x\"\n"),
        std::string("\x00\xff\xfe", 3),
        std::string(kMaxInlineBodyBytes, '\xff')}) {
    TurnRecord record = MakeRecord(body);
    std::string row = ProgramCodec::EncodeTurn(record, "i1");
    CHECK(ProgramCodec::DecodeTurn(key, row, "i1") == record);
  }
  TurnRecord large = MakeRecord(std::string(100'000, 'x'));
  large.answer.object = ProgramCodec::ObjectName(head.spec.id, "i1", 2);
  std::string row = ProgramCodec::EncodeTurn(large, "i1");
  CHECK(row.size() < 1000);
  CHECK(ProgramCodec::DecodeTurn(key, row, "i1").answer.object ==
        large.answer.object);
}

// Guards against accepting a row of another program, incarnation or turn.
TEST_CASE("rows of another program, incarnation or turn are refused") {
  std::string text = ProgramCodec::EncodeHead(MakeHead());
  ProgramId other = ProgramId::ForRoot("casca", "lot-8");
  CHECK_THROWS_AS(ProgramCodec::DecodeHead(ProgramCodec::HeadKey(other), text),
                  base::Error);
  std::string turn = ProgramCodec::EncodeTurn(MakeRecord("a"), "i1");
  ProgramId id = MakeSpec().id;
  CHECK_THROWS_AS(
      ProgramCodec::DecodeTurn(ProgramCodec::TurnKey(id, 2), turn, "i2"),
      base::Error);
  CHECK_THROWS_AS(
      ProgramCodec::DecodeTurn(ProgramCodec::TurnKey(id, 3), turn, "i1"),
      base::Error);
}

// Guards against rows that are read in part: every field must be present, known
// and of the right type.
TEST_CASE("a missing, mistyped or unknown field is refused") {
  json head = json::parse(ProgramCodec::EncodeHead(MakeHead()));
  json turn = json::parse(ProgramCodec::EncodeTurn(MakeRecord("a"), "i1"));
  auto refused = [](const json& row, bool is_head) {
    std::string key = ProgramCodec::TurnKey(MakeSpec().id, 2);
    std::string code = CodeOf([&] {
      if (is_head)
        ProgramCodec::DecodeHead(HeadKey(), row.dump());
      else
        ProgramCodec::DecodeTurn(key, row.dump(), "i1");
    });
    return code == "invalid_request";
  };
  for (const json& row : {head, turn}) {
    bool is_head = row.contains("budget");
    for (const auto& [name, value] : row.items()) {
      json changed = row;
      // The open turn is optional.
      if (name != "open") {
        changed.erase(name);
        CHECK(refused(changed, is_head));
      }
      changed[name] = -1.5;
      CHECK(refused(changed, is_head));
      changed[name] = nullptr;
      CHECK(refused(changed, is_head));
    }
    json extended = row;
    extended["more"] = 1;
    CHECK(refused(extended, is_head));
  }
  const json invalid_values = {{"/budget/limit", 300},
                               {"/budget/spent", -1},
                               {"/budget/shared", 199},
                               {"/budget/held", UINT64_MAX},
                               {"/open/turn", 4},
                               {"/open/attempt", 0},
                               {"/open/reservation", 301},
                               {"/elapsed_ms", UINT64_MAX},
                               {"/last_turn", 1},
                               {"/state", "resting"},
                               {"/format", 2},
                               {"/key", "lot-8"},
                               {"/share_returned", true}};
  CHECK(invalid_values.size() == 13);
  for (const auto& [pointer, value] : invalid_values.items()) {
    json changed = head;
    changed[json::json_pointer(pointer)] = value;
    CAPTURE(pointer);
    CHECK(refused(changed, true));
  }
}

// Guards against a recovered history with a duplicate turn or a turn outside
// the history, and against recovery without exactly one head row.
TEST_CASE("recovery refuses inconsistent sets of rows") {
  ProgramHead head = MakeHead();
  ProgramId id = head.spec.id;
  StoredRow head_row{HeadKey(), ProgramCodec::EncodeHead(head), 7};
  auto turn_row = [&](std::uint32_t turn) {
    TurnRecord record = MakeRecord("a");
    record.turn = turn;
    return StoredRow{ProgramCodec::TurnKey(id, turn),
                     ProgramCodec::EncodeTurn(record, head.spec.incarnation),
                     5};
  };
  Program program =
      ProgramCodec::Recover({turn_row(2), head_row, turn_row(1)}, kStart);
  CHECK(program.last_turn() == 2);
  CHECK(program.history().size() == 2);
  CHECK(program.head_version() == 7);
  CHECK(program.budget().spent() == 280);
  CHECK(program.open_intents().size() == 1);
  CHECK(program.elapsed(kStart).count() == 1234);
  CHECK_FALSE(program.dirty());
  CHECK(ProgramCodec::Recover({head_row}, kStart).history().empty());
  CHECK_THROWS_AS(ProgramCodec::Recover({}, kStart), base::Error);
  CHECK_THROWS_AS(ProgramCodec::Recover({turn_row(1)}, kStart), base::Error);
  CHECK_THROWS_AS(ProgramCodec::Recover({head_row, head_row}, kStart),
                  base::Error);
  CHECK_THROWS_AS(
      ProgramCodec::Recover({head_row, turn_row(1), turn_row(1)}, kStart),
      base::Error);
  CHECK_THROWS_AS(ProgramCodec::Recover({head_row, turn_row(3)}, kStart),
                  base::Error);
}

// Changes, deletes or duplicates a few bytes of a valid row.
std::string Mutate(std::string text, base::Random& random) {
  constexpr std::string_view kBytes = "{}[]\":,-+.0123456789eEntfu\\\xff ";
  for (std::uint64_t n = 1 + random.Below(4); n > 0 && !text.empty(); --n) {
    std::size_t at = random.Below(text.size());
    std::uint64_t kind = random.Below(4);
    if (kind == 0)
      text[at] = kBytes[random.Below(kBytes.size())];
    else if (kind == 1)
      text[at] = static_cast<char>(random.Below(256));
    else if (kind == 2)
      text.erase(at, 1 + random.Below(8));
    else
      text.insert(at, text.substr(random.Below(text.size()), 16));
  }
  return text;
}

// Guards against a crash, an exception other than base::Error or an
// inconsistent program when a row is corrupted: decoding throws base::Error or
// returns a program that keeps the budget's invariant and encodes to an equal
// row.
TEST_CASE("corrupted rows are refused or decode to consistent state") {
  std::string head = ProgramCodec::EncodeHead(MakeHead());
  std::string turn = ProgramCodec::EncodeTurn(MakeRecord("answer"), "i1");
  std::string turn_key = ProgramCodec::TurnKey(MakeSpec().id, 2);
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    base::Random random(seed);
    std::string text = Mutate(head, random);
    CAPTURE(seed);
    CodeOf([&] {
      Program program = ProgramCodec::Recover({{HeadKey(), text, 1}}, kStart);
      REQUIRE(program.budget().available() >= 0);
      ProgramCommit commit = program.BeginCommit(kStart);
      ProgramChange change = ProgramCodec::EncodeChange(commit);
      ProgramHead again =
          ProgramCodec::DecodeHead(HeadKey(), *change.writes.front().value);
      REQUIRE(again.budget == commit.head.budget);
    });
    text = Mutate(turn, random);
    CodeOf([&] {
      TurnRecord record = ProgramCodec::DecodeTurn(turn_key, text, "i1");
      REQUIRE(ProgramCodec::DecodeTurn(turn_key,
                                       ProgramCodec::EncodeTurn(record, "i1"),
                                       "i1") == record);
    });
    text = Mutate(turn_key, random);
    CodeOf([&] {
      ProgramRowKey key = ProgramCodec::ParseKey(text);
      REQUIRE((key.turn ? ProgramCodec::TurnKey(key.id, *key.turn)
                        : ProgramCodec::HeadKey(key.id)) == text);
    });
  }
}

}  // namespace
}  // namespace vanillalever::program
