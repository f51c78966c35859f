#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>

#include "vanillalever/conversation/turn_memory.h"

namespace vanillalever::conversation {
namespace {

Turn MakeTurn(std::size_t bytes, TurnPtr previous = nullptr) {
  Turn turn;
  turn.previous = std::move(previous);
  turn.input = std::string(bytes, 'x');
  return turn;
}

// Guards against conversations that requests hold beside the bounded cache.
TEST_CASE("a turn counts once, for as long as anybody uses it") {
  TurnMemory memory(100'000);
  TurnPtr first = memory.Keep(MakeTurn(10'000));
  std::size_t one = memory.bytes();
  CHECK(one >= 10'000);
  TurnPtr user = first;
  TurnPtr second = memory.Keep(MakeTurn(10'000, first));
  CHECK(memory.bytes() == 2 * one);
  first.reset();
  user.reset();
  CHECK(memory.bytes() == 2 * one);
  second.reset();
  CHECK(memory.bytes() == 0);
}

// Guards against lookups that all find room because none has read yet.
TEST_CASE("room that is set aside counts until it is released") {
  TurnMemory memory(100'000);
  std::optional<TurnMemory::Reservation> first = memory.Hold(60'000);
  CHECK_FALSE(memory.Fits(60'000));
  CHECK(memory.Fits(40'000));
  TurnMemory::Reservation moved = std::move(*first);
  first.reset();
  CHECK(memory.bytes() == 60'000);
  moved = memory.Hold(10'000);
  CHECK(memory.bytes() == 10'000);
  moved = {};
  CHECK(memory.bytes() == 0);
}

// Guards against a conversation that no gateway ever serves, and against sizes
// that overflow.
TEST_CASE("a large conversation fits if nothing else is held") {
  TurnMemory memory(100'000);
  CHECK(memory.Fits(200'000));
  CHECK_FALSE(memory.Fits(200'001));
  TurnMemory::Reservation own = memory.Hold(2'000);
  CHECK(memory.Fits(198'000));
  TurnMemory::Reservation other = memory.Hold(10'000);
  CHECK_FALSE(memory.Fits(100'000));
  CHECK_FALSE(memory.Fits(static_cast<std::size_t>(-1)));
}

}  // namespace
}  // namespace vanillalever::conversation
