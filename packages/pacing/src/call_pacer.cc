#include "vanillalever/pacing/call_pacer.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::pacing {
namespace {

// Factor on the pace with a refusal. Refusals of calls that were made together
// count once.
constexpr double kDecrease = 0.7;
constexpr base::milliseconds kDecreaseInterval{50};
// Time in which the pace doubles without a refusal.
constexpr base::milliseconds kDoublingTime{700};
// Lowest pace as a fraction of the equal share, so that a caller whose calls
// were refused by chance does not starve.
constexpr double kMinShare = 0.5;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void CallPacer::SetCallers(std::size_t callers) {
  callers_ = std::max<std::size_t>(1, callers);
}

void CallPacer::OnRefused(base::TimePoint now) {
  if (settings_.calls_per_second <= 0)
    return;
  bool began = !pacing(now);
  if (began)
    next_call_ = now;
  else if (now - *last_refusal_ < kDecreaseInterval)
    return;
  pace_ = began ? equal_share()
                : std::max(kMinShare * equal_share(),
                           kDecrease * calls_per_second(now));
  pace_set_at_ = now;
  last_refusal_ = now;
}

std::optional<base::Duration> CallPacer::Reserve(base::TimePoint now) {
  if (!pacing(now))
    return base::Duration(0);
  base::Duration wait = std::max(base::Duration(0), next_call_ - now);
  if (wait > settings_.max_wait)
    return std::nullopt;
  std::chrono::duration<double> interval(1 / calls_per_second(now));
  next_call_ =
      now + wait + std::chrono::duration_cast<base::Duration>(interval);
  return wait;
}

bool CallPacer::pacing(base::TimePoint now) const {
  return last_refusal_ && now - *last_refusal_ < settings_.memory;
}

double CallPacer::calls_per_second(base::TimePoint now) const {
  double doublings = Seconds(now - pace_set_at_) / Seconds(kDoublingTime);
  return std::min(settings_.calls_per_second, pace_ * std::exp2(doublings));
}

}  // namespace vanillalever::pacing
