#include "vanillalever/scheduling/slowness_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillalever::scheduling {

SlownessDetector::SlownessDetector(SlownessDetectorSettings settings)
    : settings_(settings) {}

void SlownessDetector::OnSample(base::TimePoint /*now*/,
                                double work,
                                base::Duration busy) {
  double busy_seconds = std::chrono::duration<double>(busy).count();
  if (busy_seconds <= 0)
    return;
  double rate = work / busy_seconds;
  observed_ += busy_seconds;
  auto follow = [&](double* average, base::Duration constant) {
    double seconds = std::chrono::duration<double>(constant).count();
    double weight = 1 - std::exp(-busy_seconds / seconds);
    weight = std::max(weight, busy_seconds / observed_);
    *average += weight * (rate - *average);
  };
  follow(&recent_rate_, settings_.recent);
  follow(&long_run_rate_, settings_.long_run);
}

double SlownessDetector::slowness(double pool_median_rate) const {
  if (recent_rate_ <= 0)
    return 1;
  double normal = std::max(long_run_rate_, pool_median_rate);
  double ratio = normal / recent_rate_;
  if (ratio < settings_.threshold)
    return 1;
  return std::min(ratio, settings_.max_slowness);
}

}  // namespace vanillalever::scheduling
