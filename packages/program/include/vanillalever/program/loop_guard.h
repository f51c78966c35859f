#ifndef VANILLALEVER_PROGRAM_LOOP_GUARD_H_
#define VANILLALEVER_PROGRAM_LOOP_GUARD_H_

#include <cstdint>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"

namespace vanillalever::program {

// Limits that a program class declares against programs that loop without end.
// Zero means "no limit".
struct LoopLimits {
  // Most turns of one program.
  std::uint32_t max_turns = 0;
  // Longest time from creation, without the time in which no owner had it.
  base::milliseconds max_elapsed{0};
  // Most tokens spent, children included; the program ends when it is reached,
  // whereas a budget only refuses calls that do not fit.
  std::int64_t max_spend = 0;
};

// What a program has used.
struct LoopUsage {
  // Turns that have ended.
  std::uint32_t turns = 0;
  // Time since creation under its owners.
  base::milliseconds elapsed{0};
  // Tokens spent.
  std::int64_t spend = 0;
};

// Decides whether a program may start one more turn.
class LoopGuard {
 public:
  explicit LoopGuard(const LoopLimits& limits) : limits_(limits) {}

  const LoopLimits& limits() const { return limits_; }

  // The error (kLimitReached at kAdmit) that names the reached limit and its
  // value, or nothing.
  std::optional<base::ErrorInfo> Check(const LoopUsage& usage) const;

 private:
  // Declared limits.
  LoopLimits limits_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_LOOP_GUARD_H_
