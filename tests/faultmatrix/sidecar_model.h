#ifndef VANILLALEVER_TESTS_FAULTMATRIX_SIDECAR_MODEL_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_SIDECAR_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messages.h"
#include "vanillalever/config/config_holder.h"
#include "vanillalever/execution/cache_leases.h"
#include "vanillalever/execution/drain_state.h"
#include "vanillalever/execution/work_ledger.h"
#include "vanillalever/membership/fence_table.h"

namespace vanillalever::faultmatrix {

class Cluster;

// One run of a sidecar: connects the fence table, the work ledger, the cache
// leases and the drain state to the simulated network and a fake backend.
class SidecarModel {
 public:
  using Respond = std::function<void(ExecuteReply)>;

  SidecarModel(Cluster& cluster,
               std::string address,
               std::string incarnation,
               bool engine);

  Process& process() { return process_; }
  const std::string& incarnation() const { return ledger_.incarnation(); }
  bool engine() const { return engine_; }
  // Start of the planned stop, if any.
  std::optional<TimePoint> leaving_since() const { return leaving_since_; }
  // Time at which new work was last accepted.
  std::optional<TimePoint> last_accepted() const { return last_accepted_; }
  const config::ConfigHolder& config() const { return *config_; }

  // Starts the timers and resets the backend, since only the previous run of
  // the sidecar knew which cache the backend holds.
  void Start();
  // Planned stop.
  void Stop();

  void Execute(const ExecuteRequest& request, const Respond& respond);
  SettleReply Settle(const execution::WorkKey& key, bool cancel);
  void Acknowledge(const std::string& token) { ledger_.Acknowledge(token); }
  void AcknowledgePreviousOwners(std::uint32_t shard, std::uint64_t fence);
  // Calls `done` when the backend has released the holder's cache.
  void Release(const execution::CacheHolder& holder,
               std::uint32_t shard,
               std::uint64_t fence,
               const std::function<void()>& done);
  ReportReply Report(const std::shared_ptr<const config::ConfigBody>& known);

 private:
  struct Job {
    ExecuteRequest request;
    // Senders that wait for the result; several if the request was repeated.
    std::vector<Respond> waiting;
  };

  bool IsFenced(std::uint32_t shard, std::uint64_t fence);
  execution::WorkKey WorkKeyFor(const ExecuteRequest& request) const;
  void StartQueuedJobs();
  void RunOnBackend(const std::string& token);
  void Finish(const std::string& token,
              execution::WorkResult result,
              std::uint64_t crash);
  void SendResponse(const Respond& respond, const ExecuteReply& reply);
  void SendReleases();
  void UpdateDrain();

  Cluster& cluster_;
  Process process_;
  bool engine_;
  membership::FenceTable fences_;
  execution::WorkLedger ledger_;
  execution::CacheLeases leases_;
  execution::DrainState drain_;
  std::optional<TimePoint> leaving_since_;
  std::optional<TimePoint> last_accepted_;
  std::unique_ptr<config::ConfigHolder> config_;
  std::deque<std::string> queue_;
  std::map<std::string, Job> jobs_;
  // Tokens that run on the backend, and whether the one running token runs
  // alone.
  std::set<std::string> running_;
  bool running_alone_ = false;
  // Fingerprints that were running when the backend crashed, by number of its
  // run.
  std::map<std::uint64_t, std::vector<std::string>> crashes_;
  std::map<execution::CacheHolder, std::vector<std::function<void()>>>
      release_waiting_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_SIDECAR_MODEL_H_
