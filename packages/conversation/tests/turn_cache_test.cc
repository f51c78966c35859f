#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "vanillalever/conversation/turn_cache.h"

namespace vanillalever::conversation {
namespace {

using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

TurnPtr MakeTurn(const std::string& id, TurnPtr previous, std::size_t size) {
  auto turn = std::make_shared<Turn>();
  turn->id = id;
  turn->previous = std::move(previous);
  turn->input.assign(size, 'x');
  return turn;
}

// Guards against memory that grows with the number of programs.
TEST_CASE("the least recently used turns are removed above the limit") {
  TurnCache cache({.max_bytes = 100'000});
  for (int i = 0; i < 100; ++i) {
    cache.Put(MakeTurn("t" + std::to_string(i), nullptr, 4000), kStart);
    CHECK(cache.bytes() <= 100'000);
    // A program in progress keeps its turn in memory.
    CHECK(cache.Find("t0", kStart));
  }
  CHECK_FALSE(cache.Find("t1", kStart));
  CHECK(cache.Find("t99", kStart));
}

// Guards against a newest turn that is removed before those that it holds.
TEST_CASE("a turn is used together with the turns before it") {
  TurnCache cache({.max_bytes = 100'000, .max_idle = seconds(20)});
  TurnPtr first = MakeTurn("a", nullptr, 10);
  cache.Put(first, kStart);
  cache.Put(MakeTurn("other", nullptr, 10), kStart);
  TurnPtr second = MakeTurn("b", first, 10);
  cache.Put(second, kStart + seconds(15));
  cache.RemoveIdle(kStart + seconds(25));
  CHECK_FALSE(cache.Find("other", kStart + seconds(25)));
  CHECK(cache.Find("a", kStart + seconds(25)));
  CHECK(cache.Find("b", kStart + seconds(25)));
  cache.RemoveIdle(kStart + seconds(60));
  CHECK(cache.size() == 0);
  CHECK(cache.bytes() == 0);
}

// Guards against a cache that is emptied for the sake of a little room.
TEST_CASE("the oldest turn can be removed alone") {
  TurnCache cache;
  CHECK_FALSE(cache.RemoveOldest());
  cache.Put(MakeTurn("a", nullptr, 10), kStart);
  cache.Put(MakeTurn("b", nullptr, 10), kStart);
  CHECK(cache.RemoveOldest());
  CHECK_FALSE(cache.Find("a", kStart));
  CHECK(cache.Find("b", kStart));
  CHECK(cache.RemoveOldest());
  CHECK_FALSE(cache.RemoveOldest());
  CHECK(cache.bytes() == 0);
}

}  // namespace
}  // namespace vanillalever::conversation
