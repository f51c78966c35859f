#ifndef VANILLALEVER_FORWARDING_STOP_POLICY_H_
#define VANILLALEVER_FORWARDING_STOP_POLICY_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Decides which requests a stopping gateway still passes on to servers, for
// callers that keep connections open and requests that last up to their time
// limit: what may be cut by the end of the process is refused instead, since
// another gateway can run it. Stateless.
class StopPolicy {
 public:
  // Time after the stop signal in which the load balancer may still choose this
  // gateway: requests are passed on if they end in time unless they take longer
  // than others did lately.
  static constexpr base::milliseconds kOpenTime{2800};

  // `elapsed`: time since the stop signal. `time_limit`: when the request ends
  // at the latest, from now on. `end`: when the process ends, after the signal.
  // `expected`: how long requests of its route took lately; zero if unknown.
  bool Accepts(base::Duration elapsed,
               base::Duration time_limit,
               base::Duration end,
               base::Duration expected = base::Duration(0)) const {
    if (elapsed + time_limit <= end)
      return true;
    return elapsed < kOpenTime && elapsed + expected <= end;
  }
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STOP_POLICY_H_
