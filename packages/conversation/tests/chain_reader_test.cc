#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/conversation/chain_reader.h"

namespace vanillalever::conversation {
namespace {

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

// Records of a tree of turns, and the history of each.
struct Tree {
  std::map<std::string, TurnRecord> records;
  std::map<std::string, TurnPtr> turns;

  void Add(const std::string& id, const std::string& previous) {
    auto turn = std::make_shared<Turn>();
    turn->id = id;
    if (!previous.empty())
      turn->previous = turns.at(previous);
    turn->input = "in-" + id + ";";
    turn->output = "out-" + id + "\n";
    turns[id] = turn;
    records[id] = MakeTurnRecord(*turn);
  }
};

// Reads until nothing is left to read. Returns the number of rounds.
int ReadAll(ChainReader& reader,
            const Tree& tree,
            TurnCache& cache,
            base::Random& random) {
  int rounds = 0;
  for (;;) {
    std::vector<std::string> unread = reader.TakeUnread(cache, kStart);
    if (unread.empty())
      return rounds;
    ++rounds;
    // Responses arrive in any order.
    while (!unread.empty()) {
      std::size_t i = random.Below(unread.size());
      auto found = tree.records.find(unread[i]);
      reader.OnRecord(unread[i], found == tree.records.end()
                                     ? std::nullopt
                                     : std::optional(found->second));
      unread.erase(unread.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
}

// Guards against a turn that is continued with a part of its conversation.
TEST_CASE("a chain of any length is put together in few rounds") {
  Tree tree;
  tree.Add("t0", "");
  for (int i = 1; i < 250; ++i)
    tree.Add("t" + std::to_string(i), "t" + std::to_string(i - 1));
  base::Random random(3);
  for (int length : {1, 2, 40, 64, 65, 66, 130, 250}) {
    std::string id = "t" + std::to_string(length - 1);
    TurnCache cache;
    TurnMemory memory(1 << 20);
    ChainReader reader(id);
    int rounds = ReadAll(reader, tree, cache, random);
    CHECK(rounds <= 2 + length / 64);
    CHECK(reader.missing().empty());
    TurnPtr turn = reader.Build(cache, memory, kStart);
    REQUIRE(turn);
    CHECK(History(turn.get()) == History(tree.turns.at(id).get()));
  }
}

// Guards against reading again what is in memory, and against mixing branches.
TEST_CASE("cached turns are not read, and branches stay apart") {
  Tree tree;
  tree.Add("root", "");
  tree.Add("left", "root");
  tree.Add("right", "root");
  tree.Add("left2", "left");
  TurnCache cache;
  TurnMemory memory(1 << 20);
  cache.Put(tree.turns.at("right"), kStart);
  base::Random random(5);
  ChainReader reader("left2");
  CHECK(reader.TakeUnread(cache, kStart) == std::vector<std::string>{"left2"});
  reader.OnRecord("left2", tree.records.at("left2"));
  CHECK(reader.TakeUnread(cache, kStart) == std::vector<std::string>{"left"});
  reader.OnRecord("left", tree.records.at("left"));
  CHECK(reader.TakeUnread(cache, kStart).empty());
  TurnPtr turn = reader.Build(cache, memory, kStart);
  REQUIRE(turn);
  CHECK(History(turn.get()) ==
        "in-root;out-root\nin-left;out-left\n"
        "in-left2;out-left2\n");
}

// Guards against a history with a gap.
TEST_CASE("a missing record is reported and nothing is built") {
  Tree tree;
  tree.Add("a", "");
  tree.Add("b", "a");
  tree.Add("c", "b");
  base::Random random(9);
  TurnCache cache;
  TurnMemory memory(1 << 20);
  ChainReader unknown("never");
  ReadAll(unknown, tree, cache, random);
  CHECK(unknown.missing() == "never");
  CHECK_FALSE(unknown.Build(cache, memory, kStart));
  tree.records.erase("a");
  ChainReader incomplete("c");
  ReadAll(incomplete, tree, cache, random);
  CHECK(incomplete.missing() == "a");
  CHECK_FALSE(incomplete.Build(cache, memory, kStart));
}

// Guards against an endless loop on a corrupt record.
TEST_CASE("records that name each other are not followed for ever") {
  std::map<std::string, TurnRecord> records;
  records["a"].ancestors = {"b"};
  records["b"].ancestors = {"a"};
  Tree tree;
  tree.records = records;
  base::Random random(1);
  TurnCache cache;
  TurnMemory memory(1 << 20);
  ChainReader reader("a");
  ReadAll(reader, tree, cache, random);
  CHECK_FALSE(reader.Build(cache, memory, kStart));
}

}  // namespace
}  // namespace vanillalever::conversation
