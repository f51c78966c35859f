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

class World;

// One run of a sidecar: wires the fence table, the work ledger, the cache
// leases and the drain state to messages and a fake backend.
class SidecarModel {
 public:
  using Respond = std::function<void(ExecuteReply)>;

  SidecarModel(World& world,
               std::string address,
               std::string incarnation,
               bool engine);

  Host& host() { return host_; }
  const std::string& incarnation() const { return ledger_.incarnation(); }
  bool engine() const { return engine_; }
  // When the sidecar was told to leave.
  std::optional<TimePoint> leaving_since() const { return leaving_since_; }
  // When it last accepted new work.
  std::optional<TimePoint> last_accepted() const { return last_accepted_; }
  const config::ConfigHolder& config() const { return *config_; }

  // Starts the timers and resets the backend: cache that a former run of the
  // sidecar has filled is known to nobody else.
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
    // Senders that wait for the result; more than one after a repeat.
    std::vector<Respond> waiting;
  };

  bool Fenced(std::uint32_t shard, std::uint64_t fence);
  execution::WorkKey KeyFor(const ExecuteRequest& request) const;
  void Pump();
  void Run(const std::string& token);
  void Finish(const std::string& token,
              execution::WorkResult result,
              std::uint64_t crash);
  void Answer(const Respond& respond, const ExecuteReply& reply);
  void SendReleases();
  void UpdateDrain();

  World& world_;
  Host host_;
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
  // Tokens that run on the backend; whether one of them runs alone.
  std::set<std::string> running_;
  bool running_alone_ = false;
  // What ran when a run of the backend ended, by the number of that run.
  std::map<std::uint64_t, std::vector<std::string>> crashes_;
  std::map<execution::CacheHolder, std::vector<std::function<void()>>>
      release_waiting_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_SIDECAR_MODEL_H_
