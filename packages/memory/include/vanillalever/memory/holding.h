#ifndef VANILLALEVER_MEMORY_HOLDING_H_
#define VANILLALEVER_MEMORY_HOLDING_H_

#include <array>
#include <cstddef>
#include <memory>

#include "vanillalever/base/clock.h"
#include "vanillalever/memory/account_settings.h"

namespace vanillalever::memory {

class Account;

// Owner of a holding. The account calls it while it changes or checks any
// holding: it must not call the account from here.
class Holder {
 public:
  virtual ~Holder() = default;
  // Input may be read again, after Holding::must_wait() returned true.
  virtual void OnResumed() = 0;
  // Release what is held, by a refusal or by closing the connection. Called at
  // most once.
  virtual void OnEnded(Purpose purpose) = 0;
};

// Bytes that one holder, such as a connection, holds. Leaves its account when
// it is destroyed.
class Holding {
 public:
  // `holder` must outlive the holding.
  Holding(std::shared_ptr<Account> account, Holder& holder);
  ~Holding();
  Holding(const Holding&) = delete;
  Holding& operator=(const Holding&) = delete;

  // Replaces the number of bytes held for `purpose`. Growth beyond the limits
  // ends holders, possibly this one.
  void Set(Purpose purpose, std::size_t bytes, base::TimePoint now);

  // Whether to read no more input before Holder::OnResumed(). Always true once
  // the holder was ended.
  bool must_wait();
  bool ended() const { return ended_; }
  std::size_t bytes(Purpose purpose) const { return part(purpose).bytes; }

 private:
  friend class Account;

  struct Part {
    std::size_t bytes = 0;
    // When the first of these bytes was taken.
    base::TimePoint since{};
  };

  const Part& part(Purpose purpose) const {
    return parts_[static_cast<std::size_t>(purpose)];
  }
  Part& part(Purpose purpose) {
    return parts_[static_cast<std::size_t>(purpose)];
  }

  const std::shared_ptr<Account> account_;
  Holder& holder_;
  std::array<Part, kPurposes> parts_{};
  bool slowed_ = false;
  bool ended_ = false;
};

}  // namespace vanillalever::memory

#endif  // VANILLALEVER_MEMORY_HOLDING_H_
