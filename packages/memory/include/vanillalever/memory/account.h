#ifndef VANILLALEVER_MEMORY_ACCOUNT_H_
#define VANILLALEVER_MEMORY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_set>

#include "vanillalever/base/clock.h"
#include "vanillalever/memory/account_settings.h"
#include "vanillalever/memory/holding.h"

namespace vanillalever::memory {

// Bytes that the process holds for others, and who must release some. Answers
// the load of clients that keep no limits: above a part of a limit, large
// holders read no further; if that is not enough in time, or if a limit is
// exceeded at once, holders are ended in the order of bytes times the time for
// which they are held, the largest first. No I/O; not thread-safe.
class Account {
 public:
  // Holders ended since the last TakeEnded(), of one purpose.
  struct Ended {
    std::uint64_t holders = 0;
    // Bytes of all of them, and of the largest.
    std::size_t bytes = 0;
    std::size_t largest_bytes = 0;
    // Longest time for which one of them held its bytes.
    base::Duration longest{};
  };

  explicit Account(const AccountSettings& settings);

  // Resumes slowed holders if there is room again, and ends some if there has
  // been none for the time of patience. Call every 100 ms or so.
  void Tick(base::TimePoint now);

  // Bytes held now by holders that were not ended.
  std::size_t held(Purpose purpose) const { return at(held_, purpose); }
  std::size_t held() const;
  // Largest number of bytes for `purpose`.
  std::size_t limit(Purpose purpose) const;
  // Whether any holder waits to be resumed; if not, Tick() has nothing to do.
  bool any_slowed() const { return slowed_ > 0; }
  // Times that a holder was slowed.
  std::uint64_t slowed_total() const { return slowed_total_; }
  // Returns what was ended for `purpose` since the last call, and resets it.
  Ended TakeEnded(Purpose purpose);

 private:
  friend class Holding;

  template <typename T>
  static T& at(std::array<T, kPurposes>& values, Purpose purpose) {
    return values[static_cast<std::size_t>(purpose)];
  }
  template <typename T>
  static const T& at(const std::array<T, kPurposes>& values, Purpose purpose) {
    return values[static_cast<std::size_t>(purpose)];
  }

  void Join(Holding& holding) { holdings_.insert(&holding); }
  void Leave(Holding& holding);
  void Set(Holding& holding,
           Purpose purpose,
           std::size_t bytes,
           base::TimePoint now);
  bool MustWait(Holding& holding);
  // Whether more than `share` of the limit is held for `purpose`; without one,
  // of the total.
  bool Exceeds(std::optional<Purpose> purpose, double share) const;
  // Ends holders of more than `min_bytes` for `purpose`, or for any without
  // one, until at most `share` of the limit is held.
  void Relieve(std::optional<Purpose> purpose,
               double share,
               std::size_t min_bytes,
               base::TimePoint now);
  // Whether large holders have to wait.
  bool Slows() const;
  void End(Holding& holding, Purpose purpose, base::TimePoint now);
  void Resume();

  const AccountSettings settings_;
  std::unordered_set<Holding*> holdings_;
  std::array<std::size_t, kPurposes> held_{};
  std::array<Ended, kPurposes> ended_{};
  std::size_t slowed_ = 0;
  std::uint64_t slowed_total_ = 0;
  // Since when large holders have had to wait, as seen by Tick().
  std::optional<base::TimePoint> slow_since_;
};

}  // namespace vanillalever::memory

#endif  // VANILLALEVER_MEMORY_ACCOUNT_H_
