#ifndef VANILLALEVER_SIDECAR_SRC_CRASH_PROBE_H_
#define VANILLALEVER_SIDECAR_SRC_CRASH_PROBE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "backend.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::sidecar {

// Finds out whether a lost connection means that the backend server crashed. A
// process that is ending still accepts connections for a moment, longer on a
// busy machine, so that the server is probed several times. Thread-safe.
class CrashProbe {
 public:
  explicit CrashProbe(Backend& backend) : backend_(backend) {}

  // `done` receives whether a probe did not reach the server.
  void Check(std::function<void(bool crashed)> done);
  // Sends the probes that are due. Call periodically.
  void Tick(base::TimePoint now);

 private:
  struct Suspicion {
    int probes_left = 0;
    base::TimePoint next_probe{};
    std::function<void(bool crashed)> done;
  };

  void Probe(Suspicion suspicion);

  Backend& backend_;
  std::mutex mutex_;
  std::vector<Suspicion> suspicions_;
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SRC_CRASH_PROBE_H_
