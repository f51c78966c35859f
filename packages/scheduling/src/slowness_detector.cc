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

void SlownessDetector::OnSample(std::size_t operating_point,
                                double work,
                                base::Duration busy) {
  double busy_seconds = Seconds(busy);
  if (busy_seconds <= 0)
    return;
  double rate = work / busy_seconds;
  OperatingPoint& history = operating_points_[operating_point];
  if (history.busy_seconds >= Seconds(settings_.warm_up) && history.rate > 0) {
    // Averages times rather than rates, so that a stall takes effect at once.
    double slowdown =
        std::min(settings_.max_slowness, history.rate / std::max(rate, 1e-9));
    recent_slowness_ +=
        (1 -
         std::exp(-busy_seconds / Seconds(settings_.recent_time_constant))) *
        (slowdown - recent_slowness_);
  }
  history.busy_seconds += busy_seconds;
  double weight =
      1 - std::exp(-busy_seconds / Seconds(settings_.long_run_time_constant));
  weight = std::max(weight, busy_seconds / history.busy_seconds);
  history.rate += weight * (rate - history.rate);
}

double SlownessDetector::long_run_rate() const {
  double highest = 0;
  for (const auto& [operating_point, history] : operating_points_)
    highest = std::max(highest, history.rate);
  return highest;
}

double SlownessDetector::slowness(double pool_median_rate) const {
  double ratio = recent_slowness_;
  if (double long_run = long_run_rate(); long_run > 0)
    ratio *= std::max(1.0, pool_median_rate / long_run);
  if (ratio < settings_.threshold)
    return 1;
  return std::min(ratio, settings_.max_slowness);
}

}  // namespace vanillalever::scheduling
