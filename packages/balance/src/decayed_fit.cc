#include "vanillalever/balance/decayed_fit.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::balance {
namespace {

// A measurement after a longer gap moves the usual value no further.
constexpr base::milliseconds kLongestGap{500};

double DecayOver(base::Duration elapsed, base::Duration half_life) {
  double half_lives = std::chrono::duration<double>(elapsed) /
                      std::chrono::duration<double>(half_life);
  return std::exp2(-std::max(0.0, half_lives));
}

}  // namespace

DecayedMean::DecayedMean(double prior,
                         double prior_weight,
                         base::Duration half_life)
    : prior_(prior), prior_weight_(prior_weight), half_life_(half_life) {}

void DecayedMean::Add(double value, base::TimePoint now) {
  double decay = Decay(now);
  weight_ = weight_ * decay + 1;
  sum_ = sum_ * decay + value;
  updated_at_ = now;
}

double DecayedMean::value(base::TimePoint now) const {
  double decay = Decay(now);
  return (prior_ * prior_weight_ + sum_ * decay) /
         (prior_weight_ + weight_ * decay);
}

double DecayedMean::Decay(base::TimePoint now) const {
  return weight_ > 0 ? DecayOver(now - updated_at_, half_life_) : 0;
}

void DecayedUsual::Add(double value, base::TimePoint now) {
  double usual = this->value(now);
  double seconds = std::chrono::duration<double>(
                       std::min<base::Duration>(now - updated_at_, kLongestGap))
                       .count();
  double most = speed_ * std::max(0.0, seconds);
  usual_ = usual + std::clamp(value - usual, -most, most);
  updated_at_ = now;
}

double DecayedUsual::value(base::TimePoint now) const {
  return usual_ == 0 ? 0 : usual_ * DecayOver(now - updated_at_, half_life_);
}

DecayedLine::DecayedLine(Coefficients prior,
                         double prior_range,
                         double prior_weight,
                         base::Duration half_life)
    : prior_(prior),
      prior_range_(prior_range),
      prior_weight_(prior_weight),
      half_life_(half_life) {}

void DecayedLine::Sums::Scale(double factor) {
  weight *= factor;
  x *= factor;
  y *= factor;
  xx *= factor;
  xy *= factor;
}

void DecayedLine::Sums::Add(double at_x, double at_y, double added_weight) {
  weight += added_weight;
  x += added_weight * at_x;
  y += added_weight * at_y;
  xx += added_weight * at_x * at_x;
  xy += added_weight * at_x * at_y;
}

void DecayedLine::Add(double x, double y, base::TimePoint now) {
  sums_.Scale(Decay(now));
  sums_.Add(x, y, 1);
  updated_at_ = now;
}

DecayedLine::Coefficients DecayedLine::value(base::TimePoint now) const {
  Sums sums = sums_;
  sums.Scale(Decay(now));
  // Two points fix the prior line.
  sums.Add(0, prior_.offset, prior_weight_ / 2);
  sums.Add(prior_range_, prior_.offset + prior_.slope * prior_range_,
           prior_weight_ / 2);
  double spread = sums.xx - sums.x * sums.x / sums.weight;
  Coefficients line;
  line.slope = (sums.xy - sums.x * sums.y / sums.weight) / spread;
  line.offset = (sums.y - line.slope * sums.x) / sums.weight;
  return line;
}

double DecayedLine::Decay(base::TimePoint now) const {
  return sums_.weight > 0 ? DecayOver(now - updated_at_, half_life_) : 0;
}

}  // namespace vanillalever::balance
