#ifndef VANILLALEVER_GUARD_CRASH_ATTRIBUTION_H_
#define VANILLALEVER_GUARD_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::guard {

struct CrashAttributionSettings {
  // An interruption counts as caused by the end of the server's run if that
  // becomes known within this time.
  base::milliseconds window{10000};
  // How long the end of a run is remembered.
  base::milliseconds retention{60000};
  // Interruptions remembered at most; further ones are not attributed.
  std::size_t max_interruptions = 20000;
};

// A request that was at work when a server's run ended.
struct InterruptedRequest {
  std::string fingerprint;
  // Time from its send to its interruption.
  base::Duration at_work{0};

  bool operator==(const InterruptedRequest&) const = default;
};

// Finds the requests that were at work when a run of a server ended. A response
// that breaks off tells nothing by itself: the server may only have lost it. So
// interruptions are kept until the run is known to have ended, or answers a
// request that was sent later. Runs are named by text. Not thread-safe.
class CrashAttribution {
 public:
  explicit CrashAttribution(CrashAttributionSettings settings = {});

  // A send of the request ended without a whole response. Returns whether the
  // run is already known to have ended.
  bool OnInterrupted(const std::string& run,
                     const InterruptedRequest& request,
                     base::TimePoint now);
  // The run responded to a request, or accepted a connection, that was sent at
  // `sent_at`: it did not end before.
  void OnAlive(const std::string& run, base::TimePoint sent_at);
  // The run has ended without announcing it. Returns the requests
  // that were interrupted there, each once.
  std::vector<InterruptedRequest> OnRunEnded(const std::string& run,
                                             base::TimePoint now);
  // Whether a send of the request to the run was interrupted for a reason that
  // is not known yet.
  bool Interrupted(const std::string& run,
                   const std::string& fingerprint) const;
  // Forgets what is too old to be attributed.
  void Expire(base::TimePoint now);

  bool empty() const { return interruptions_.empty() && ended_.empty(); }

 private:
  struct Interruption {
    InterruptedRequest request;
    base::TimePoint at{};
  };

  CrashAttributionSettings settings_;
  // By run, in order of time.
  std::map<std::string, std::vector<Interruption>> interruptions_;
  std::size_t count_ = 0;
  // When runs that ended were found to have ended.
  std::map<std::string, base::TimePoint> ended_;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_CRASH_ATTRIBUTION_H_
