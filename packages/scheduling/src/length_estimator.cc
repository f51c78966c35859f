#include "vanillalever/scheduling/length_estimator.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::scheduling {
namespace {

// Sample weight at which a histogram is rescaled, well below overflow.
constexpr double kMaxSampleWeight = 1e100;

}  // namespace

LengthEstimator::LengthEstimator(LengthEstimatorSettings settings)
    : settings_(settings) {}

std::size_t LengthEstimator::BucketOf(double length) {
  double bucket = 2 * std::log2(std::max(1.0, length));
  return std::min(kBuckets - 1, static_cast<std::size_t>(bucket));
}

void LengthEstimator::OnLength(int program_class, double length) {
  Histogram& histogram = classes_[program_class];
  histogram.sample_weight /= settings_.decay;
  std::size_t bucket = BucketOf(length);
  histogram.count[bucket] += histogram.sample_weight;
  histogram.sum[bucket] += histogram.sample_weight * length;
  if (histogram.sample_weight < kMaxSampleWeight)
    return;
  for (std::size_t b = 0; b < kBuckets; ++b) {
    histogram.count[b] /= histogram.sample_weight;
    histogram.sum[b] /= histogram.sample_weight;
  }
  histogram.sample_weight = 1;
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
    // Only lengths above the attained one are still possible.
    std::size_t first = attained <= 0 ? 0 : BucketOf(attained) + 1;
    for (std::size_t b = first; b < kBuckets; ++b) {
      count += histogram.count[b] / histogram.sample_weight;
      sum += histogram.sum[b] / histogram.sample_weight;
    }
  }
  // Without samples above `attained`, the expected remaining length equals
  // `attained`, as in a heavy-tailed distribution with exponent two.
  double prior = std::max(settings_.default_length, 2 * attained);
  double expected = (sum + settings_.default_weight * prior) /
                    (count + settings_.default_weight);
  return std::max(1.0, expected - attained);
}

}  // namespace vanillalever::scheduling
