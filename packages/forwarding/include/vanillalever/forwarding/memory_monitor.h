#ifndef VANILLALEVER_FORWARDING_MEMORY_MONITOR_H_
#define VANILLALEVER_FORWARDING_MEMORY_MONITOR_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/memory/account.h"

namespace vanillalever::forwarding {

// Runs the account of what callers' connections hold: publishes its figures,
// logs its decisions, and returns freed memory to the system after them.
class MemoryMonitor {
 public:
  MemoryMonitor(const memory::AccountSettings& settings,
                base::CounterRegistry& counters);

  // Call every 100 ms or so.
  void Tick(base::TimePoint now);

  std::shared_ptr<memory::Account> account() const { return account_; }

 private:
  struct Series {
    base::Counter* held = nullptr;
    base::Counter* ended = nullptr;
  };

  // Returns whether any holder was ended.
  bool ReportEnded(memory::Purpose purpose);

  const std::shared_ptr<memory::Account> account_;
  std::array<Series, memory::kPurposes> series_;
  base::Counter& slowed_;
  std::uint64_t reported_slowed_ = 0;
  // Memory was freed since it was returned to the system.
  bool return_due_ = false;
  base::TimePoint returned_at_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_MEMORY_MONITOR_H_
