#include "vanillalever/scheduling/slowness_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillalever::scheduling {
namespace {

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

SlownessDetector::SlownessDetector(SlownessDetectorSettings settings)
    : settings_(settings) {}

void SlownessDetector::OnSample(std::size_t point,
                                double work,
                                base::Duration busy) {
  double busy_seconds = Seconds(busy);
  if (busy_seconds <= 0)
    return;
  double rate = work / busy_seconds;
  Point& history = points_[point];
  if (history.observed >= Seconds(settings_.learning) && history.rate > 0) {
    // Times, not rates, are averaged: a stalled server then shows at once.
    double slower =
        std::min(settings_.max_slowness, history.rate / std::max(rate, 1e-9));
    recent_ += (1 - std::exp(-busy_seconds / Seconds(settings_.recent))) *
               (slower - recent_);
  }
  history.observed += busy_seconds;
  double weight = 1 - std::exp(-busy_seconds / Seconds(settings_.long_run));
  weight = std::max(weight, busy_seconds / history.observed);
  history.rate += weight * (rate - history.rate);
}

double SlownessDetector::long_run_rate() const {
  double highest = 0;
  for (const auto& [point, history] : points_)
    highest = std::max(highest, history.rate);
  return highest;
}

double SlownessDetector::slowness(double pool_median_rate) const {
  double ratio = recent_;
  if (double normal = long_run_rate(); normal > 0)
    ratio *= std::max(1.0, pool_median_rate / normal);
  if (ratio < settings_.threshold)
    return 1;
  return std::min(ratio, settings_.max_slowness);
}

}  // namespace vanillalever::scheduling
