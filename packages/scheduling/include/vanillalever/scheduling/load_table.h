#ifndef VANILLALEVER_SCHEDULING_LOAD_TABLE_H_
#define VANILLALEVER_SCHEDULING_LOAD_TABLE_H_

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "vanillalever/scheduling/candidate.h"

namespace vanillalever::scheduling {

struct LoadTableSettings {
  // Time from the measurement of a report to its arrival. Sends within this
  // time before the arrival are not included in the report.
  base::Duration report_delay = base::milliseconds(10);
  // Service rate assumed before the first report (work tokens per second).
  double initial_rate = 10000;
};

// Load report of a sidecar.
struct LoadReport {
  // Work queued and running (work tokens).
  double backlog_tokens = 0;
  // Rate at which the server works off its backlog (work tokens per second).
  double service_rate = 0;
  // SlownessDetector::slowness() of the server.
  double slowness = 1;
  // Share of the KV memory that programs in progress hold, in [0, 1].
  double kv_cache_usage = 0;
  bool leaving = false;
};

// Latest report of each backend server in a pool, and the work that this
// process has sent since. Thread-safe: each server has its own lock.
class LoadTable {
 public:
  LoadTable(std::size_t servers,
            base::TimePoint now,
            LoadTableSettings settings = LoadTableSettings());

  void OnReport(ServerIndex server,
                const LoadReport& report,
                base::TimePoint now);

  // A call of `work` tokens was sent; OnEnd() must follow exactly once.
  void OnSend(ServerIndex server, double work, base::TimePoint now);
  void OnEnd(ServerIndex server);

  void SetDistance(ServerIndex server, base::Duration distance);
  // A quarantined server receives no calls.
  void SetQuarantined(ServerIndex server, bool quarantined);
  // Sets the leaving state immediately, without waiting for the next report.
  void SetLeaving(ServerIndex server, bool leaving);

  // Replaces the content of `out` by the candidates, ordered by index.
  void Candidates(base::TimePoint now, std::vector<Candidate>* out) const;

  std::size_t size() const { return servers_.size(); }

 private:
  struct Send {
    base::TimePoint time{};
    double work = 0;
  };

  struct Server {
    mutable std::mutex mutex;
    Candidate candidate;
    base::TimePoint reported_at{};
    // Sends not included in the latest report, oldest first.
    std::deque<Send> unreported_sends;
  };

  LoadTableSettings settings_;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_LOAD_TABLE_H_
