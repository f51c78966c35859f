#ifndef VANILLALEVER_FORWARDING_STORE_PATH_H_
#define VANILLALEVER_FORWARDING_STORE_PATH_H_

#include <algorithm>
#include <cstddef>
#include <utility>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Settings of StorePath.
struct StorePathSettings {
  // A call without a response for this long, while no other call succeeded, is
  // also made through another gateway. The store normally responds in 10 ms.
  base::milliseconds patience{50};
  // The store counts as unreachable if calls are in progress and none has
  // succeeded for this long.
  base::milliseconds silence{250};
  // Interval of the calls that find out whether the store responds again.
  base::milliseconds probe_interval{400};
  // A gateway that made no call for this long makes one, so that it can tell
  // the others in time that the store has become unavailable.
  base::milliseconds idle_check{250};
  // The same for each gateway that makes such calls, if that is longer.
  base::milliseconds idle_check_per_gateway{5};
};

// Decides whether a gateway calls the store itself or through another gateway.
// The store may refuse or ignore some gateways while it serves the others. Does
// no I/O. Not thread-safe.
class StorePath {
 public:
  explicit StorePath(StorePathSettings settings = {}) : settings_(settings) {}

  void OnResponse(base::TimePoint now) {
    reachable_ = true;
    last_response_ = now;
    throttled_ = false;
  }
  // A call was refused because the gateways together make too many. Another
  // gateway would not be served either, unless the store turns away this one.
  void OnThrottled(base::TimePoint now) {
    if (!std::exchange(throttled_, true))
      throttled_since_ = now;
    if (now - throttled_since_ >= settings_.silence)
      reachable_ = false;
  }
  // A long poll that began at `sent` has a response, which says nothing of the
  // calls that were sent after it.
  void OnPollResponse(base::TimePoint sent, base::TimePoint now) {
    if (reachable_ && (open_calls_ == 0 || sent >= silent_since_))
      OnResponse(now);
  }
  // A part of a large response arrived at `when`, which others may wait behind.
  void OnLargeResponse(base::TimePoint when) {
    if (reachable_)
      last_response_ = std::max(last_response_, when);
  }
  // A call of this gateway begins; OnResponse() or OnFailure() ends it.
  void OnCall(base::TimePoint now) {
    if (open_calls_++ == 0)
      silent_since_ = now;
  }
  void OnCallEnded() { --open_calls_; }
  // Whether the store has become silent: it counts as unreachable then.
  bool TakeSilence(base::TimePoint now) {
    if (!reachable_ || open_calls_ == 0 ||
        now - std::max(silent_since_, last_response_) < settings_.silence)
      return false;
    reachable_ = false;
    return true;
  }
  // A call of this gateway was refused, or its response did not arrive.
  void OnFailure() { reachable_ = false; }

  // Whether the store responded to this gateway's latest call.
  bool reachable() const { return reachable_; }
  // Whether a call that was sent at `sent` is now worth making through another
  // gateway as well.
  bool Overdue(base::TimePoint sent, base::TimePoint now) const {
    return now - sent >= settings_.patience &&
           now - last_response_ >= settings_.patience;
  }
  // Whether to call the store now to find out whether it responds again.
  bool TakeProbe(base::TimePoint now) {
    if (reachable_ || now < next_probe_)
      return false;
    next_probe_ = now + settings_.probe_interval;
    return true;
  }

  // Whether to call the store now to find out whether it still responds.
  // `gateways`: how many make such calls; they share the store's rate of reads.
  bool IdleCheckDue(base::TimePoint now, std::size_t gateways = 1) const {
    base::Duration interval = std::max<base::Duration>(
        settings_.idle_check,
        static_cast<int>(gateways) * settings_.idle_check_per_gateway);
    return reachable_ && open_calls_ == 0 && now - last_response_ >= interval;
  }

  const StorePathSettings& settings() const { return settings_; }

 private:
  StorePathSettings settings_;
  bool reachable_ = true;
  int open_calls_ = 0;
  // When the first of the calls in progress began.
  base::TimePoint silent_since_{};
  base::TimePoint last_response_{};
  base::TimePoint next_probe_{};
  // Calls were refused for the rate since the last response, and since when.
  bool throttled_ = false;
  base::TimePoint throttled_since_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STORE_PATH_H_
