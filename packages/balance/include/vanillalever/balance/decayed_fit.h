#ifndef VANILLALEVER_BALANCE_DECAYED_FIT_H_
#define VANILLALEVER_BALANCE_DECAYED_FIT_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::balance {

// Weighted mean of measurements whose weights halve with each half-life, so
// that it falls back to `prior` without them. `prior_weight`: number of
// measurements for which the prior counts. Not thread-safe.
class DecayedMean {
 public:
  DecayedMean(double prior, double prior_weight, base::Duration half_life);

  void Add(double value, base::TimePoint now);
  double value(base::TimePoint now) const;

 private:
  double Decay(base::TimePoint now) const;

  double prior_;
  double prior_weight_;
  base::Duration half_life_;
  double weight_ = 0;
  double sum_ = 0;
  base::TimePoint updated_at_{};
};

// Usual one of measurements that are far off for short times: moves towards
// each at a bounded speed, and decays to 0 with time. Not thread-safe.
class DecayedUsual {
 public:
  // `speed`: largest change per second between measurements.
  DecayedUsual(double speed, base::Duration half_life)
      : speed_(speed), half_life_(half_life) {}

  void Add(double value, base::TimePoint now);
  double value(base::TimePoint now) const;

 private:
  double speed_;
  base::Duration half_life_;
  double usual_ = 0;
  base::TimePoint updated_at_{};
};

// Line through measurements, by least squares, with the same weights. The prior
// is a line and the range of x in which it counts. Not thread-safe.
class DecayedLine {
 public:
  struct Coefficients {
    double offset = 0;
    double slope = 0;
  };

  DecayedLine(Coefficients prior,
              double prior_range,
              double prior_weight,
              base::Duration half_life);

  void Add(double x, double y, base::TimePoint now);
  Coefficients value(base::TimePoint now) const;

 private:
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    void Scale(double factor);
    void Add(double at_x, double at_y, double added_weight);
  };

  double Decay(base::TimePoint now) const;

  Coefficients prior_;
  double prior_range_;
  double prior_weight_;
  base::Duration half_life_;
  Sums sums_;
  base::TimePoint updated_at_{};
};

}  // namespace vanillalever::balance

#endif  // VANILLALEVER_BALANCE_DECAYED_FIT_H_
