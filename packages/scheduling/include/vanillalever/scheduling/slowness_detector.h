#ifndef VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_
#define VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_

#include <cstddef>
#include <map>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Settings of SlownessDetector.
struct SlownessDetectorSettings {
  // Time constant of the recent rate, in busy time.
  base::Duration recent = base::milliseconds(700);
  // Time constant of the long-run rate, in busy time.
  base::Duration long_run = base::seconds(300);
  // Slowness below which a server counts as normal, to keep noise out.
  double threshold = 1.4;
  // Busy time at an operating point before its samples are judged.
  base::Duration learning = base::seconds(1);
  // Largest slowness reported.
  double max_slowness = 16;
};

// Compares a server's recent rate with its long-run rate and with the pool's
// median. A batching engine's rate depends on how many calls it runs, so the
// long-run rate is kept for each operating point, which the caller numbers.
// Not thread-safe.
class SlownessDetector {
 public:
  explicit SlownessDetector(
      SlownessDetectorSettings settings = SlownessDetectorSettings());

  // The server did `work` tokens in `busy` time at the operating point `point`,
  // for example its batch size. Idle time must not be included.
  void OnSample(std::size_t point, double work, base::Duration busy);

  // At least 1; 4 means four times slower than normal. `pool_median_rate` is
  // the median of the pool's long-run rates, or zero when unknown: it shows
  // servers that have been slow since they started.
  double slowness(double pool_median_rate = 0) const;

  // Highest long-run rate of all operating points (work tokens per second):
  // what the server can work off when it has enough to do. Zero before the
  // first sample.
  double long_run_rate() const;

 private:
  struct Point {
    // Long-run rate (work tokens per second).
    double rate = 0;
    // Busy time seen, in seconds; short histories weigh samples equally.
    double observed = 0;
  };

  SlownessDetectorSettings settings_;
  std::map<std::size_t, Point> points_;
  // Moving average of the time taken relative to the long-run rate; 1 is
  // normal.
  double recent_ = 1;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_
