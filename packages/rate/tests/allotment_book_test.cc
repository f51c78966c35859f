#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "vanillalever/rate/allotment_book.h"

namespace vanillalever::rate {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
constexpr base::TimePoint kNow = kStart + seconds(20);
const std::vector<AllotmentLimit> limits{{"acme", 10, 5}, {"free", 0, 0}};

// Without tolerance.
AllotmentSettings Exact() {
  AllotmentSettings settings;
  settings.excess = settings.slack = 0;
  return settings;
}

// A book that has run for long, of one gateway in full contact.
AllotmentBook Settled(std::size_t gateways) {
  AllotmentBook book(Exact(), 1);
  book.SetReach({1, gateways}, kStart);
  book.SetLimits(limits, kStart);
  for (milliseconds before{10000}; before >= seconds(0);
       before -= milliseconds(500))
    book.SetReach({1, gateways}, kNow - before);
  return book;
}
int CountTaken(AllotmentBook& book, int requests, base::TimePoint now) {
  int taken = 0;
  for (int i = 0; i < requests; ++i)
    taken += book.Take("acme", now) ? 0 : 1;
  return taken;
}

// Guards against organisations without a limit that are counted or refused.
TEST_CASE("only organisations with a limit are limited") {
  AllotmentBook book = Settled(1);
  for (int i = 0; i < 1000; ++i) {
    CHECK_FALSE(book.Take("free", kNow));
    CHECK_FALSE(book.Take("unknown", kNow));
  }
  CHECK(CountTaken(book, 1000, kNow) == 6);
  CHECK(book.TakeChanges().size() == 1);
}

// Guards against organisations with a low rate that are refused though a window
// has room, and against those with a high one that use up what is needed for
// requests that cross.
TEST_CASE("a part of the tolerance adds to the burst of a low rate") {
  AllotmentBook book({}, 1);
  book.SetReach({1, 1}, kStart);
  book.SetLimits({}, kStart);
  book.SetLimits({{"acme", 2, 2}, {"large", 100, 10}}, kStart);
  // 2 at once, and a third of 20 + 0.1 x 12 less 0.5 s of the rate.
  CHECK(CountTaken(book, 100, kStart) == 9);
  int large = 0;
  for (int i = 0; i < 100; ++i)
    large += book.Take("large", kStart) ? 0 : 1;
  CHECK(large == 11);
}

// Guards against a burst that is granted to each process that starts, and
// against requests before the other gateways are known.
TEST_CASE("a fresh process has no credit") {
  AllotmentBook book(Exact(), 1);
  book.SetReach({0, 1}, kStart);
  book.SetLimits(limits, kStart);
  CHECK(CountTaken(book, 10, kStart + seconds(5)) == 0);
  book.SetReach({1, 2}, kStart + milliseconds(300));
  CHECK(CountTaken(book, 10, kStart + milliseconds(390)) == 0);
  CHECK(CountTaken(book, 10, kStart + milliseconds(400)) == 1);
}

// Guards against a process that wakes and uses what others have used meanwhile.
TEST_CASE("a process that was paused uses the share of one gateway at first") {
  AllotmentBook book = Settled(10);
  base::TimePoint woken = kNow + seconds(4);
  book.SetReach({1, 10}, woken);
  CHECK(CountTaken(book, 10, woken) == 1);
  book.SetReach({1, 10}, woken + milliseconds(300));
  CHECK(CountTaken(book, 10, woken + milliseconds(300)) == 0);
}

// Guards against an allotment that is new and refuses its first callers.
TEST_CASE("an organisation that gets its first limit has its burst") {
  AllotmentBook book = Settled(1);
  book.SetLimits({{"free", 10, 5}}, kNow);
  CHECK_FALSE(book.limits("acme"));
  int taken = 0;
  for (int i = 0; i < 10; ++i)
    taken += book.Take("free", kNow) ? 0 : 1;
  CHECK(taken == 6);
}

// Guards against review/15: an operator takes back a configuration that left an
// organisation out, and all gateways forget what it has used.
TEST_CASE("an organisation that is left out for a moment has no new burst") {
  AllotmentBook book = Settled(1);
  CHECK(CountTaken(book, 1000, kNow) == 6);
  book.SetLimits({}, kNow + milliseconds(100));
  CHECK_FALSE(book.limits("acme"));
  CHECK_FALSE(book.Take("acme", kNow + milliseconds(200)));
  book.RemoveEnded(kNow + milliseconds(500));
  book.SetLimits(limits, kNow + milliseconds(600));
  CHECK(book.limits("acme"));
  // 10 a second.
  CHECK(CountTaken(book, 1000, kNow + milliseconds(600)) == 6);
  // What others have used counts while it is left out, too.
  book.SetLimits({}, kNow + milliseconds(700));
  book.OnPeerMessage(7, kNow + milliseconds(700));
  AllotmentBook other = Settled(1);
  CountTaken(other, 1000, kNow + milliseconds(700));
  for (const AllotmentUse& use : other.TakeChanges())
    book.OnPeerUse(7, use, kNow + milliseconds(800));
  book.SetLimits(limits, kNow + milliseconds(900));
  CHECK(CountTaken(book, 1000, kNow + milliseconds(900)) == 0);
}

// Guards against memory that grows with all organisations there ever were, and
// against one that is held to what it used long ago.
TEST_CASE("an allotment that has ended is forgotten after a window") {
  AllotmentBook book = Settled(1);
  CHECK(CountTaken(book, 1000, kNow) == 6);
  book.SetLimits({}, kNow);
  book.RemoveEnded(kNow + seconds(4));
  CHECK_FALSE(book.empty());
  book.RemoveEnded(kNow + seconds(6));
  CHECK(book.empty());
  book.SetLimits(limits, kNow + seconds(6));
  CHECK(CountTaken(book, 1000, kNow + seconds(6)) == 6);
}

// Guards against callers that are sent away for longer than needed, and against
// those that return together.
TEST_CASE("refused callers are told different times, the first ones soon") {
  AllotmentBook book = Settled(28);
  CountTaken(book, 6, kNow);
  std::vector<base::Duration> waits;
  for (int i = 0; i < 200; ++i) {
    auto refusal = book.Take("acme", kNow);
    REQUIRE(refusal);
    CHECK(refusal->begins == (i == 0));
    waits.push_back(refusal->retry_after);
  }
  CHECK(waits.front() <= milliseconds(200));
  CHECK(*std::max_element(waits.begin(), waits.end()) <= seconds(5));
  std::sort(waits.begin(), waits.end());
  CHECK(std::adjacent_find(waits.begin(), waits.end()) == waits.end());
  CHECK(book.TakeEnded(kNow + seconds(4)).empty());
  std::vector<AllotmentEpisode> ended = book.TakeEnded(kNow + seconds(5));
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().refused == 200);
}

// Guards against a lost announcement that is never made up for.
TEST_CASE("totals near the limit are repeated, all of them after a loss") {
  AllotmentBook book = Settled(2);
  CountTaken(book, 1, kNow);
  CHECK(book.Repeated(kNow).empty());
  CountTaken(book, 4, kNow);
  CHECK(book.Repeated(kNow).size() == 1);
  CHECK(book.Repeated(kNow + seconds(2)).empty());
  book.SetReach({0.5, 2}, kNow + milliseconds(600));
  book.SetReach({1, 2}, kNow + milliseconds(1200));
  CHECK(book.Repeated(kNow + milliseconds(1400)).size() == 1);
}

}  // namespace
}  // namespace vanillalever::rate
