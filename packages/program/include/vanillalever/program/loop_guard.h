#ifndef VANILLALEVER_PROGRAM_LOOP_GUARD_H_
#define VANILLALEVER_PROGRAM_LOOP_GUARD_H_

#include <cstdint>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"

namespace vanillalever::program {

// Limits declared by a program class to end programs that loop indefinitely.
// Zero means no limit.
struct LoopLimits {
  // Maximum number of turns of one program.
  std::uint32_t max_turns = 0;
  // Maximum time since creation, excluding periods without an owner.
  base::milliseconds max_elapsed{0};
  // Maximum tokens spent, including children. Reaching it ends the program,
  // whereas a budget only refuses calls that do not fit.
  std::int64_t max_spend = 0;
};

// Usage of a program, compared with its LoopLimits.
struct LoopUsage {
  // Number of ended turns.
  std::uint32_t turns = 0;
  // Time since creation, excluding periods without an owner.
  base::milliseconds elapsed{0};
  // Tokens spent, including children.
  std::int64_t spend = 0;
};

// Decides whether a program may start one more turn.
class LoopGuard {
 public:
  explicit LoopGuard(const LoopLimits& limits) : limits_(limits) {}

  const LoopLimits& limits() const { return limits_; }

  // Returns an error (kLimitReached at kAdmit) that names the first limit that
  // is reached, or nothing.
  std::optional<base::ErrorInfo> Check(const LoopUsage& usage) const;

 private:
  LoopLimits limits_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_LOOP_GUARD_H_
