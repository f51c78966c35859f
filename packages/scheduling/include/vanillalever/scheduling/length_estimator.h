#ifndef VANILLALEVER_SCHEDULING_LENGTH_ESTIMATOR_H_
#define VANILLALEVER_SCHEDULING_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <unordered_map>

namespace vanillalever::scheduling {

// Settings of LengthEstimator.
struct LengthEstimatorSettings {
  // Estimate for a class without history (tokens).
  double default_length = 200;
  // Samples that the default counts for.
  double default_weight = 5;
  // Factor on old samples at each new one, so that the history follows change.
  double decay = 0.999;
};

// Expected length of a class's calls from the lengths seen so far, kept as a
// histogram with logarithmic buckets. Not thread-safe.
class LengthEstimator {
 public:
  explicit LengthEstimator(
      LengthEstimatorSettings settings = LengthEstimatorSettings());

  // A call of the class ended after `length` tokens.
  void OnLength(int program_class, double length);

  // Expected length of a call (tokens).
  double ExpectedLength(int program_class) const;

  // Expected length that remains after `attained` tokens, at least one. Grows
  // with `attained` for heavy-tailed classes: long calls are demoted.
  double ExpectedRemainingLength(int program_class, double attained) const;

 private:
  // Bucket b holds lengths in [2^(b/2), 2^((b+1)/2)).
  static constexpr std::size_t kBuckets = 48;

  struct Histogram {
    std::array<double, kBuckets> count{};
    std::array<double, kBuckets> sum{};
    // Weight of a new sample; grows instead of shrinking all old ones.
    double unit = 1;
  };

  static std::size_t BucketOf(double length);

  LengthEstimatorSettings settings_;
  std::unordered_map<int, Histogram> classes_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_LENGTH_ESTIMATOR_H_
