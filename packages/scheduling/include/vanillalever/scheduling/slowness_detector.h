#ifndef VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_
#define VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Settings of SlownessDetector.
struct SlownessDetectorSettings {
  // Time constant of the recent rate.
  base::Duration recent = base::milliseconds(700);
  // Time constant of the long-run rate.
  base::Duration long_run = base::seconds(300);
  // Slowness below which a server counts as normal, to keep noise out.
  double threshold = 1.4;
  // Largest slowness reported.
  double max_slowness = 16;
};

// Compares a server's recent rate with its long-run rate and with the pool's
// median. Rates are normalised by the caller: work done per second of busy
// time, relative to what the server's batch should allow. Not thread-safe.
class SlownessDetector {
 public:
  explicit SlownessDetector(
      SlownessDetectorSettings settings = SlownessDetectorSettings());

  // The server did `work` tokens in `busy` time, ending at `now`. Idle time
  // must not be included.
  void OnSample(base::TimePoint now, double work, base::Duration busy);

  // At least 1; 4 means four times slower than normal. `pool_median_rate` is
  // the median of the pool's long-run rates, or zero when unknown: it shows
  // servers that have been slow since they started.
  double slowness(double pool_median_rate = 0) const;

  // Rates in work tokens per second; zero before the first sample.
  double recent_rate() const { return recent_rate_; }
  double long_run_rate() const { return long_run_rate_; }

 private:
  SlownessDetectorSettings settings_;
  double recent_rate_ = 0;
  double long_run_rate_ = 0;
  // Busy time seen so far, in seconds; short histories weigh samples equally.
  double observed_ = 0;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_SLOWNESS_DETECTOR_H_
