#ifndef VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_
#define VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_

#include <cstddef>
#include <map>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

struct SlownessDetectorSettings {
  // Time constant of the recent average, in busy time.
  base::Duration recent_time_constant = base::milliseconds(700);
  // Time constant of the long-run rate, in busy time.
  base::Duration long_run_time_constant = base::seconds(300);
  // Slowness below which a server counts as normal, to suppress noise.
  double threshold = 1.4;
  // Busy time at an operating point before its samples affect the slowness.
  base::Duration warm_up = base::seconds(1);
  double max_slowness = 16;
};

// Compares a server's recent rate with its long-run rate and with the pool's
// median. The rate of a batching engine depends on the number of running calls,
// so the long-run rate is kept per operating point, numbered by the
// caller. Not thread-safe.
class SlownessDetector {
 public:
  explicit SlownessDetector(
      SlownessDetectorSettings settings = SlownessDetectorSettings());

  // The server completed `work` tokens in `busy` time at an operating point,
  // for example its batch size. Idle time must not be included.
  void OnSample(std::size_t operating_point, double work, base::Duration busy);

  // Returns at least 1; 4 is four times slower than normal. `pool_median_rate`
  // is the median of the pool's long-run rates, or zero if unknown; it reveals
  // servers that have been slow since they started.
  double slowness(double pool_median_rate = 0) const;

  // Highest long-run rate over all operating points (work tokens per second),
  // which is the server's capacity under full load. Zero before the first
  // sample.
  double long_run_rate() const;

 private:
  struct OperatingPoint {
    // Long-run rate (work tokens per second).
    double rate = 0;
    // Total busy time. While it is short, all samples have equal weight.
    double busy_seconds = 0;
  };

  SlownessDetectorSettings settings_;
  std::map<std::size_t, OperatingPoint> operating_points_;
  // Moving average of the time per work token relative to the long-run average;
  // 1 is normal.
  double recent_slowness_ = 1;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_
