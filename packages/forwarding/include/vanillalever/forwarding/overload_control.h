#ifndef VANILLALEVER_FORWARDING_OVERLOAD_CONTROL_H_
#define VANILLALEVER_FORWARDING_OVERLOAD_CONTROL_H_

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::forwarding {

// Settings of OverloadControl.
struct OverloadSettings {
  // Time constant with which a turn's measured time loses weight.
  base::milliseconds memory{1000};
  // Turns that must have been measured within that time.
  double least_turns = 5;
  // Mean stretch of turns from which programs are refused at their start, for
  // the most important routes and for each further step of priority.
  double first_stretch = 5.0;
  double stretch_per_priority = -1.5;
  // Rise of the stretch over which the share of refused programs grows to
  // `most_refused`.
  double range = 3.0;
  double most_refused = 0.9;
};

// Refuses programs at their start while turns take much longer than on idle
// servers. Programs that have begun go on: their work so far would be lost.
// Answers a crest at which more programs would only make all of them late. Not
// thread-safe.
class OverloadControl {
 public:
  explicit OverloadControl(OverloadSettings settings = OverloadSettings());

  // A turn took `actual_ms` that takes `ideal_ms` on an idle server.
  void OnTurn(double ideal_ms, double actual_ms, base::TimePoint now);

  // Measured time of recent turns over their time on idle servers; 1 without
  // recent turns.
  double stretch(base::TimePoint now) const;

  // Whether to refuse a program at its start.
  bool Refuse(int priority, base::TimePoint now, base::Random& random) const;

 private:
  double Decay(base::TimePoint now) const;

  OverloadSettings settings_;
  double ideal_ms_ = 0;
  double actual_ms_ = 0;
  double turns_ = 0;
  base::TimePoint updated_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_OVERLOAD_CONTROL_H_
