#ifndef VANILLALEVER_SCHEDULING_LENGTH_ESTIMATOR_H_
#define VANILLALEVER_SCHEDULING_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <unordered_map>

namespace vanillalever::scheduling {

struct LengthEstimatorSettings {
  // Estimate for a class without samples (tokens).
  double default_length = 200;
  // Weight of the default in the estimate, in samples.
  double default_weight = 5;
  // Factor on the weight of old samples at each new one, so that the estimate
  // adapts to changes.
  double decay = 0.999;
};

// Estimates the length of a class's calls from a histogram of past lengths with
// logarithmic buckets and exponential decay. Not thread-safe.
class LengthEstimator {
 public:
  explicit LengthEstimator(
      LengthEstimatorSettings settings = LengthEstimatorSettings());

  // A call of the class ended with `length` tokens.
  void OnLength(int program_class, double length);

  // Expected length of a call (tokens).
  double ExpectedLength(int program_class) const;

  // Expected remaining length after `attained` tokens, at least one. Increases
  // with `attained` in heavy-tailed classes, so that long calls are demoted.
  double ExpectedRemainingLength(int program_class, double attained) const;

 private:
  // Bucket b holds lengths in [2^(b/2), 2^((b+1)/2)).
  static constexpr std::size_t kBuckets = 48;

  struct Histogram {
    std::array<double, kBuckets> count{};
    std::array<double, kBuckets> sum{};
    // Weight of a new sample. Increases over time, instead of scaling down all
    // old samples.
    double sample_weight = 1;
  };

  static std::size_t BucketOf(double length);

  LengthEstimatorSettings settings_;
  std::unordered_map<int, Histogram> classes_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_LENGTH_ESTIMATOR_H_
