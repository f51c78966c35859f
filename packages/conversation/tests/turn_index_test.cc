#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "vanillalever/conversation/turn_index.h"

namespace vanillalever::conversation {
namespace {

using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
constexpr seconds kRetention{60};
constexpr std::size_t kMany = 1000;

using IdList = std::vector<std::string>;

TurnIndexEntry After(const std::string& previous,
                     base::Duration retention = kRetention) {
  return {.previous = previous, .retention = retention, .rows = 1};
}

IdList Ids(const std::vector<TurnIndex::Expired>& records) {
  IdList ids;
  for (const auto& record : records)
    ids.push_back(record.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

// Deletes what has expired, and what expires with it. Returns the ids in the
// order of their deletion.
IdList DeleteAll(TurnIndex& index, base::TimePoint now) {
  IdList deleted;
  for (;;) {
    auto expired = index.TakeExpired(now, kMany);
    if (expired.empty())
      return deleted;
    for (const auto& record : expired) {
      deleted.push_back(record.id);
      index.Remove(record.id, record.version + 1'000'000);
    }
  }
}

// Guards against records that are deleted while a conversation may continue.
TEST_CASE("a conversation is kept with its newest turn") {
  TurnIndex index;
  index.Put("t0", After(""), 1, kStart);
  base::TimePoint now = kStart;
  for (int i = 1; i <= 20; ++i) {
    now += seconds(59);
    CHECK(index.TakeExpired(now, kMany).empty());
    index.Put("t" + std::to_string(i), After("t" + std::to_string(i - 1)), 1,
              now);
  }
  CHECK(index.TakeExpired(now + 2 * kRetention, kMany).empty());
  auto deleted = DeleteAll(index, now + 3 * kRetention);
  CHECK(deleted.size() == 21);
  CHECK(index.size() == 0);
}

// Guards against review/12: the gateway that would have kept the conversation
// ends, and another one that knows nothing of it deletes its oldest turns.
TEST_CASE("a gateway that takes over deletes nothing that is in use") {
  TurnIndex index;
  base::TimePoint now = kStart;
  index.Put("a", After(""), 1, now);
  now += seconds(50);
  index.Put("b", After("a"), 2, now);
  now += seconds(50);
  index.Put("c", After("b"), 3, now);
  // It lists the records in any order, long after they were written.
  TurnIndex next;
  now += seconds(59);
  next.BeginListing();
  next.Put("c", After("b"), 3, now);
  next.Put("a", After(""), 1, now);
  next.Put("b", After("a"), 2, now);
  next.EndListing();
  CHECK(index.TakeExpired(now, kMany).empty());
  CHECK(next.TakeExpired(now + kRetention, kMany).empty());
  CHECK(DeleteAll(next, now + 3 * kRetention) == IdList{"c", "b", "a"});
}

// Guards against a route with a short retention time that shortens what another
// route has promised, and the reverse.
TEST_CASE("the longest retention time of a conversation's turns holds") {
  TurnIndex index;
  index.Put("short", After("", seconds(2)), 1, kStart);
  index.Put("long", After("short"), 2, kStart + seconds(1));
  index.Put("other", After(""), 3, kStart);
  index.Put("brief", After("other", seconds(2)), 4, kStart + seconds(1));
  CHECK(DeleteAll(index, kStart + 2 * kRetention) == IdList{"brief"});
  auto deleted = DeleteAll(index, kStart + seconds(1) + 3 * kRetention);
  std::sort(deleted.begin(), deleted.end());
  CHECK(deleted == IdList{"long", "other", "short"});
}

// Guards against sub-agents of which the first to end takes their common past
// with it.
TEST_CASE("a turn is kept while any of those that continue it is left") {
  TurnIndex index;
  index.Put("root", After(""), 1, kStart);
  index.Put("x", After("root"), 2, kStart);
  index.Put("y", After("root"), 3, kStart + kRetention);
  CHECK(DeleteAll(index, kStart + 3 * kRetention) == IdList{"x"});
  CHECK(DeleteAll(index, kStart + 4 * kRetention) == IdList{"y", "root"});
}

// Guards against a gateway that stood still, or was cut off, and deletes what
// was continued meanwhile.
TEST_CASE("records expire only as of a moment whose index is known") {
  TurnIndex index;
  index.Put("a", After(""), 1, kStart);
  base::TimePoint known_until = kStart + 2 * kRetention;
  CHECK(index.TakeExpired(known_until, kMany).empty());
  index.Put("b", After("a"), 2, kStart + 10 * kRetention);
  CHECK(index.TakeExpired(kStart + 10 * kRetention, kMany).empty());
}

// Guards against turns that last longer than their retention time.
TEST_CASE("a record is kept for as long as a turn that continues it may last") {
  TurnIndex index;
  index.SetLongestTurn(seconds(10));
  index.Put("a", After("", seconds(1)), 1, kStart);
  CHECK(index.TakeExpired(kStart + seconds(10), kMany).empty());
  CHECK(index.TakeExpired(kStart + seconds(11), kMany).size() == 1);
}

// Guards against records that stay for ever since the store failed once, and
// against a turn that is deleted before those that continue it.
TEST_CASE("a failed deletion is repeated") {
  TurnIndex index;
  index.Put("a", After(""), 1, kStart);
  index.Put("b", After("a"), 7, kStart);
  base::TimePoint now = kStart + 3 * kRetention;
  auto expired = index.TakeExpired(now, kMany);
  REQUIRE(Ids(expired) == IdList{"b"});
  CHECK(expired.front().version == 7);
  CHECK(index.TakeExpired(now + kRetention, kMany).empty());
  index.OnDeleteFailed("b", now);
  CHECK(Ids(index.TakeExpired(now + seconds(5), kMany)) == IdList{"b"});
  index.OnDeleteFailed("b", now + seconds(5));
  CHECK(DeleteAll(index, now + seconds(10)) == IdList{"b", "a"});
}

// Guards against conversations whose records pile up at their beginning, and
// against recursion that grows with them.
TEST_CASE("a conversation of hundreds of turns is deleted from its end") {
  TurnIndex index;
  constexpr int kTurns = 800;
  std::string previous;
  for (int i = 0; i < kTurns; ++i) {
    std::string id = "t" + std::to_string(i);
    index.Put(id, After(previous), 1, kStart + seconds(i));
    previous = id;
  }
  auto deleted = DeleteAll(index, kStart + seconds(kTurns) + 3 * kRetention);
  REQUIRE(deleted.size() == kTurns);
  CHECK(deleted.front() == previous);
  CHECK(deleted.back() == "t0");
  CHECK(index.size() == 0);
}

// Guards against entries that were deleted while nobody watched, changes that
// are applied twice, and an id that is used again.
TEST_CASE("a listing and repeated changes leave what the store holds") {
  TurnIndex index;
  index.Put("gone", After(""), 1, kStart);
  index.Put("kept", After(""), 2, kStart);
  index.BeginListing();
  index.Put("kept", After(""), 2, kStart + kRetention);
  index.EndListing();
  CHECK(index.size() == 1);
  // The listing came after these changes.
  index.Put("gone", After(""), 1, kStart + kRetention);
  index.Remove("gone", 3);
  index.Remove("kept", 1);
  CHECK(index.size() == 1);
  index.Remove("kept", 5);
  index.Put("kept", After("other"), 8, kStart + 2 * kRetention);
  CHECK(index.TakeExpired(kStart + 4 * kRetention, kMany).empty());
  auto expired = index.TakeExpired(kStart + 5 * kRetention, kMany);
  REQUIRE(Ids(expired) == IdList{"kept"});
  CHECK(expired.front().version == 8);
}

// Guards against records that stay for ever, since the response to their
// deletion was ignored when the table was listed anew.
TEST_CASE("a deletion in progress is seen in the next listing") {
  TurnIndex index;
  index.Put("deleted", After(""), 1, kStart);
  index.Put("failed", After(""), 2, kStart);
  base::TimePoint now = kStart + 3 * kRetention;
  REQUIRE(index.TakeExpired(now, kMany).size() == 2);
  index.BeginListing();
  index.Put("failed", After(""), 2, now);
  index.EndListing();
  CHECK(Ids(index.TakeExpired(now, kMany)) == IdList{"failed"});
}

// Guards against memory and records that nobody frees: turns whose predecessor
// has no entry, and one that names itself.
TEST_CASE("turns without a known predecessor are deleted") {
  TurnIndex index;
  index.Put("b", After("a"), 1, kStart);
  index.Put("self", After("self"), 2, kStart);
  CHECK(DeleteAll(index, kStart + 3 * kRetention).size() == 2);
  CHECK(index.size() == 0);
}

// Guards against gateways that watch different parts of one conversation.
TEST_CASE("all turns of a conversation are in one part of the index") {
  auto first = std::make_shared<Turn>();
  first->id = "first";
  TurnPtr last = first;
  for (int i = 0; i < 50; ++i) {
    auto turn = std::make_shared<Turn>();
    turn->id = "t" + std::to_string(i);
    turn->previous = last;
    last = turn;
    CHECK(TurnIndexPart(*turn) == TurnIndexPart(*first));
  }
}

// Guards against entries of other writers.
TEST_CASE("index entries are read as written, and others are rejected") {
  TurnIndexEntry entry{
      .previous = "0123456789abcdef", .retention = kRetention, .rows = 3};
  CHECK(DecodeTurnIndexEntry(EncodeTurnIndexEntry(entry)) == entry);
  entry.rows = 0;
  CHECK_FALSE(DecodeTurnIndexEntry(EncodeTurnIndexEntry(entry)));
  entry.rows = 1'000'000;
  CHECK_FALSE(DecodeTurnIndexEntry(EncodeTurnIndexEntry(entry)));
  CHECK_FALSE(DecodeTurnIndexEntry("{}"));
  CHECK_FALSE(DecodeTurnIndexEntry(""));
}

}  // namespace
}  // namespace vanillalever::conversation
