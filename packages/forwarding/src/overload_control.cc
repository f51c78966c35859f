#include "vanillalever/forwarding/overload_control.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace vanillalever::forwarding {

OverloadControl::OverloadControl(OverloadSettings settings)
    : settings_(settings) {
  if (getenv("VL_A")) settings_.first_stretch = atof(getenv("VL_A"));
  if (getenv("VL_B")) settings_.stretch_per_priority = atof(getenv("VL_B"));
  if (getenv("VL_C")) settings_.range = atof(getenv("VL_C"));
}

double OverloadControl::Decay(base::TimePoint now) const {
  double passed = std::chrono::duration<double>(now - updated_).count();
  double memory = std::chrono::duration<double>(settings_.memory).count();
  return std::exp(-std::max(0.0, passed) / memory);
}

void OverloadControl::OnTurn(double ideal_ms,
                             double actual_ms,
                             base::TimePoint now) {
  double decay = Decay(now);
  ideal_ms_ = ideal_ms_ * decay + ideal_ms;
  actual_ms_ = actual_ms_ * decay + actual_ms;
  turns_ = turns_ * decay + 1;
  updated_ = now;
}

double OverloadControl::stretch(base::TimePoint now) const {
  if (turns_ * Decay(now) < settings_.least_turns)
    return 1;
  return std::max(1.0, actual_ms_ / ideal_ms_);
}

bool OverloadControl::Refuse(int priority,
                             base::TimePoint now,
                             base::Random& random) const {
  double limit = std::max(1.0, settings_.first_stretch +
                                   settings_.stretch_per_priority * priority);
  double share = (stretch(now) - limit) / settings_.range;
  return random.Uniform() < std::min(share, settings_.most_refused);
}

}  // namespace vanillalever::forwarding
