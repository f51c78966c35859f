#ifndef VANILLALEVER_CONVERSATION_TURN_MEMORY_H_
#define VANILLALEVER_CONVERSATION_TURN_MEMORY_H_

#include <cstddef>
#include <memory>

#include "vanillalever/conversation/turn.h"

namespace vanillalever::conversation {

// Bytes of the turns in memory: those that the cache, a request or a write
// holds, each counted once, and those that are about to be read. Answers the
// load of many callers whose conversations are large: what would not fit is to
// be refused before it is read. Does no I/O. Not thread-safe.
class TurnMemory {
 public:
  // Room that is set aside, until this object ends.
  class Reservation {
   public:
    Reservation() = default;
    ~Reservation() { Release(); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;

   private:
    friend class TurnMemory;
    Reservation(std::shared_ptr<std::size_t> total, std::size_t bytes);
    void Release();

    std::shared_ptr<std::size_t> total_;
    std::size_t bytes_ = 0;
  };

  // `max_bytes`: most that turns may take together.
  explicit TurnMemory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // The turn counts until its last user has released it.
  TurnPtr Keep(Turn turn);
  // Sets room aside whether there is any or not, for what cannot be refused any
  // more.
  Reservation Hold(std::size_t bytes) const;
  // Whether `bytes` more fit. If hardly anything is held, twice the limit does:
  // a conversation that is alone is served while the machine can bear it.
  bool Fits(std::size_t bytes) const;

  std::size_t bytes() const { return *bytes_; }

 private:
  const std::size_t max_bytes_;
  std::shared_ptr<std::size_t> bytes_ = std::make_shared<std::size_t>(0);
};

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_TURN_MEMORY_H_
