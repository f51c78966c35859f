#include "vanillalever/conversation/turn_memory.h"

#include <utility>

namespace vanillalever::conversation {
namespace {

// A conversation beside which no more than this part of the limit is held is
// alone.
constexpr std::size_t kAloneDivisor = 16;

}  // namespace

TurnMemory::Reservation::Reservation(std::shared_ptr<std::size_t> total,
                                     std::size_t bytes)
    : total_(std::move(total)), bytes_(bytes) {
  *total_ += bytes_;
}

TurnMemory::Reservation::Reservation(Reservation&& other) noexcept
    : total_(std::move(other.total_)), bytes_(std::exchange(other.bytes_, 0)) {}

TurnMemory::Reservation& TurnMemory::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this != &other) {
    Release();
    total_ = std::move(other.total_);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

void TurnMemory::Reservation::Release() {
  if (auto total = std::exchange(total_, nullptr))
    *total -= std::exchange(bytes_, 0);
}

TurnPtr TurnMemory::Keep(Turn turn) {
  // The turn and its room have one owner.
  struct Kept {
    Turn turn;
    Reservation room;
  };
  std::size_t bytes = turn.bytes();
  auto kept = std::make_shared<Kept>(Kept{std::move(turn), Hold(bytes)});
  return {kept, &kept->turn};
}

TurnMemory::Reservation TurnMemory::Hold(std::size_t bytes) const {
  return {bytes_, bytes};
}

bool TurnMemory::Fits(std::size_t bytes) const {
  bool alone = *bytes_ <= max_bytes_ / kAloneDivisor;
  std::size_t most = alone ? 2 * max_bytes_ : max_bytes_;
  return bytes <= most && *bytes_ <= most - bytes;
}

}  // namespace vanillalever::conversation
