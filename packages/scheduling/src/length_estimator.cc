#include "vanillalever/scheduling/length_estimator.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::scheduling {
namespace {

// Sample weight at which a histogram is scaled back, well below overflow.
constexpr double kMaxUnit = 1e100;

}  // namespace

LengthEstimator::LengthEstimator(LengthEstimatorSettings settings)
    : settings_(settings) {}

std::size_t LengthEstimator::BucketOf(double length) {
  double bucket = 2 * std::log2(std::max(1.0, length));
  return std::min(kBuckets - 1, static_cast<std::size_t>(bucket));
}

void LengthEstimator::OnLength(int program_class, double length) {
  Histogram& histogram = classes_[program_class];
  histogram.unit /= settings_.decay;
  std::size_t bucket = BucketOf(length);
  histogram.count[bucket] += histogram.unit;
  histogram.sum[bucket] += histogram.unit * length;
  if (histogram.unit < kMaxUnit)
    return;
  for (std::size_t b = 0; b < kBuckets; ++b) {
    histogram.count[b] /= histogram.unit;
    histogram.sum[b] /= histogram.unit;
  }
  histogram.unit = 1;
}

double LengthEstimator::ExpectedLength(int program_class) const {
  return ExpectedRemainingLength(program_class, 0);
}

double LengthEstimator::ExpectedRemainingLength(int program_class,
                                                double attained) const {
  double count = 0;
  double sum = 0;
  auto found = classes_.find(program_class);
  if (found != classes_.end()) {
    const Histogram& histogram = found->second;
    // Only lengths beyond the attained one are still possible.
    std::size_t first = attained <= 0 ? 0 : BucketOf(attained) + 1;
    for (std::size_t b = first; b < kBuckets; ++b) {
      count += histogram.count[b] / histogram.unit;
      sum += histogram.sum[b] / histogram.unit;
    }
  }
  // Without history beyond `attained`, the remaining length is taken to be as
  // long as what was attained, as for a heavy tail with exponent two.
  double prior = std::max(settings_.default_length, 2 * attained);
  double expected = (sum + settings_.default_weight * prior) /
                    (count + settings_.default_weight);
  return std::max(1.0, expected - attained);
}

}  // namespace vanillalever::scheduling
