#include "crash_probe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace vanillalever::sidecar {
namespace {

constexpr int kProbes = 4;
constexpr base::milliseconds kProbeInterval{100};

}  // namespace

void CrashProbe::Check(std::function<void(bool crashed)> done) {
  Probe({kProbes, {}, std::move(done)});
}

void CrashProbe::Probe(Suspicion suspicion) {
  --suspicion.probes_left;
  backend_.Probe([this, suspicion = std::move(suspicion)](bool reachable) {
    if (!reachable || suspicion.probes_left == 0)
      return suspicion.done(!reachable);
    Suspicion next = suspicion;
    next.next_probe = base::TimePoint::clock::now() + kProbeInterval;
    std::lock_guard lock(mutex_);
    suspicions_.push_back(std::move(next));
  });
}

void CrashProbe::Tick(base::TimePoint now) {
  std::vector<Suspicion> due;
  {
    std::lock_guard lock(mutex_);
    auto later = std::partition(
        suspicions_.begin(), suspicions_.end(),
        [now](const Suspicion& item) { return item.next_probe > now; });
    due.assign(std::make_move_iterator(later),
               std::make_move_iterator(suspicions_.end()));
    suspicions_.erase(later, suspicions_.end());
  }
  for (Suspicion& suspicion : due)
    Probe(std::move(suspicion));
}

}  // namespace vanillalever::sidecar
