#include "vanillalever/program/loop_guard.h"

#include <string>
#include <string_view>

namespace vanillalever::program {

namespace {

base::ErrorInfo LimitReachedError(std::string_view limit,
                                  std::int64_t used,
                                  std::int64_t allowed,
                                  std::string_view unit) {
  base::ErrorInfo info;
  info.code = base::ErrorCode::kLimitReached;
  info.step = base::Step::kAdmit;
  info.message = "the program reached its declared limit on ";
  info.message += limit;
  info.message +=
      ": " + std::to_string(used) + " of " + std::to_string(allowed);
  info.message += ' ';
  info.message += unit;
  return info;
}

}  // namespace

std::optional<base::ErrorInfo> LoopGuard::Check(const LoopUsage& usage) const {
  if (limits_.max_turns > 0 && usage.turns >= limits_.max_turns)
    return LimitReachedError("turns", usage.turns, limits_.max_turns, "turns");
  if (limits_.max_elapsed.count() > 0 && usage.elapsed >= limits_.max_elapsed) {
    return LimitReachedError("elapsed time", usage.elapsed.count(),
                             limits_.max_elapsed.count(), "ms");
  }
  if (limits_.max_spend > 0 && usage.spend >= limits_.max_spend)
    return LimitReachedError("spend", usage.spend, limits_.max_spend, "tokens");
  return std::nullopt;
}

}  // namespace vanillalever::program
