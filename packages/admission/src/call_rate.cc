#include "vanillalever/admission/call_rate.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::admission {
namespace {

// Bounds of a gateway's rate, as multiples of an equal part.
constexpr double kLeastParts = 0.5;
constexpr double kMostParts = 3;
constexpr double kFirstParts = 1;
// A gateway that has made few calls gets no more than this multiple of them, or
// an equal part: together the gateways could exceed the limit far otherwise
// when all of them need more.
constexpr double kMostOfUsed = 1.5;
constexpr double kUsedSeconds = 1;
// What remains of the rate when a call is refused, at most once an interval:
// calls in progress are refused together.
constexpr double kYield = 0.92;
constexpr base::milliseconds kYieldInterval{100};
// Equal parts regained a second.
constexpr double kRegained = 0.25;
// Time whose calls may be made at once.
constexpr double kBurstSeconds = 0.1;
constexpr double kLeastBurst = 2;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

CallRate::CallRate(double limit_per_second)
    : limit_per_second_(limit_per_second),
      rate_(limit_per_second),
      ready_(kLeastBurst) {}

double CallRate::equal_part() const {
  return limit_per_second_ / static_cast<double>(gateways_);
}

void CallRate::SetGateways(std::size_t gateways) {
  if (gateways == gateways_)
    return;
  // A gateway that knows no other yet has not measured anything.
  double parts = gateways_ == 1 ? kFirstParts : rate_ / equal_part();
  gateways_ = std::max<std::size_t>(1, gateways);
  rate_ = std::min(limit_per_second_, parts * equal_part());
}

void CallRate::Advance(base::TimePoint now) {
  double elapsed = std::clamp(Seconds(now - advanced_at_), 0.0, 1.0);
  advanced_at_ = now;
  used_ *= std::exp(-elapsed / kUsedSeconds);
  double most = std::max(equal_part(), kMostOfUsed * used_);
  rate_ =
      std::min({rate_ + kRegained * equal_part() * elapsed,
                std::min(most, kMostParts * equal_part()), limit_per_second_});
  ready_ = std::min(ready_ + rate_ * elapsed,
                    std::max(kLeastBurst, kBurstSeconds * rate_));
}

bool CallRate::TakeCall(base::TimePoint now) {
  if (!limited())
    return true;
  Advance(now);
  if (ready_ < 1)
    return false;
  ready_ -= 1;
  used_ += 1 / kUsedSeconds;
  return true;
}

base::Duration CallRate::until_next(base::TimePoint now) {
  if (!limited())
    return base::Duration(0);
  Advance(now);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(0.0, 1 - ready_) / rate_));
}

void CallRate::OnRefused(base::TimePoint now) {
  if (!limited() || now - yielded_at_ < kYieldInterval)
    return;
  yielded_at_ = now;
  rate_ = std::max(kYield * rate_, kLeastParts * equal_part());
}

}  // namespace vanillalever::admission
