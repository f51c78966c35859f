#ifndef VANILLALEVER_TESTS_FAULTMATRIX_CLUSTER_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_CLUSTER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_model.h"
#include "entry_model.h"
#include "fake_backend.h"
#include "fake_platform.h"
#include "network.h"
#include "operator_model.h"
#include "scenario.h"
#include "sidecar_model.h"
#include "simulator.h"
#include "vanillalever/membership/lease_settings.h"

namespace vanillalever::faultmatrix {

// Simulated cluster of one schedule: its processes, the faults that are
// injected, and the checks of the guarantees as seen from outside.
class Cluster {
 public:
  explicit Cluster(const Scenario& scenario);

  // Runs the schedule to its end and checks the guarantees.
  Outcome Run();

  // --- For the models ---
  Simulator& simulator() { return simulator_; }
  Network& network() { return network_; }
  FakePlatform& platform() { return platform_; }
  bool enabled(Safeguard safeguard) const {
    return scenario_.disabled.count(safeguard) == 0;
  }
  membership::LeaseSettings lease_settings() const;
  membership::InstanceViewSettings instance_settings() const;
  guard::StrikeSettings strike_settings() const;

  // Everything that the fake backends have executed.
  std::vector<Execution>& executions() { return executions_; }

  // Running processes, or null.
  FakeBackend* backend(const std::string& address);
  SidecarModel* sidecar(const std::string& address);
  EntryModel* entry(const std::string& incarnation);
  // Chooses an entry at random, like the platform's load balancer; null if none
  // accepts requests.
  EntryModel* PickEntry();

  // Injects the faults that are due when a call reaches `step` in `process`.
  // `next` runs as soon as the process is not paused, or never if it was
  // killed.
  void InjectFaults(PathStep step,
                    Process& process,
                    EntryModel* entry,
                    const std::string& sidecar,
                    bool repeatable,
                    const std::function<void()>& next);
  // Sends a response, or swaps it with another one.
  void RespondOrSwap(Process& process,
                     const SidecarModel::Respond& respond,
                     const ExecuteReply& reply);
  // Return and clear a pending fault: an execution that hangs, an `execute`
  // request that is delivered twice, and a call that crashes servers.
  bool ConsumeHang() { return std::exchange(hang_next_, false); }
  bool ConsumeDuplicate() { return std::exchange(duplicate_next_, false); }
  bool ConsumeCrash() { return std::exchange(crash_next_, false); }
  bool reports_lost() const { return simulator_.now() < reports_lost_until_; }

  // Starts the caller of a sub-agent, once per schedule.
  void StartSubAgent(const program::ProgramId& parent);
  // Keys of the cache index.
  static std::uint64_t ProgramKey(const std::string& program);
  static std::uint32_t ServerIndex(const std::string& address);
  static std::string ServerName(std::uint32_t index);
  // Sends a cache event of an engine to the entries with a delay. Events may be
  // lost.
  void PublishCacheEvent(const FakeBackend& backend,
                         const std::string& program,
                         std::int64_t tokens);
  void KillBackend(const std::string& address);
  void RestartSidecar(const std::string& address);
  void RestartEntry(EntryModel& entry);

  // --- Observations ---
  void RecordCrash(const std::string& fingerprint);
  // Records the end of a planned stop with `interrupted` requests in flight.
  void RecordPlannedStop(const Process& process, std::size_t interrupted);
  void CheckNotRun(const std::string& program, std::uint32_t turn);
  void CheckAnswer(const std::string& program,
                   std::uint32_t turn,
                   const program::Answer& answer,
                   const std::optional<program::Answer>& earlier);

  // Offers a version to a process. With the version check disabled it replaces
  // the present version whatever its number.
  void OfferConfig(std::unique_ptr<config::ConfigHolder>& holder,
                   const std::shared_ptr<const config::ConfigBody>& body) const;
  // Returns a value that no earlier configuration change has used.
  int NextConfigValue() { return ++config_values_; }

 private:
  void StartServers();
  void StartEntry(const std::string& address);
  void StartSidecar(const std::string& address);
  void StartCallers();
  void SchedulePlannedStops();
  void UpdateInstanceList();
  // Injects a fault; returns false if it has no target.
  bool Inject(const FaultInjection& injection,
              EntryModel* entry,
              const std::string& sidecar,
              bool repeatable);
  bool Matches(const FaultInjection& injection,
               const std::string& sidecar) const;
  EntryModel* ChooseEntry(const EntryModel* except);
  std::string ChooseSidecar(const std::string& preferred);
  std::string ChooseBackend(const std::string& preferred, bool engine);

  // --- Configuration (cluster_config.cc) ---
  struct ConfigObservation {
    std::int64_t highest = 0;
    // Time for which each accepted version has been missing while the process
    // was reachable.
    std::map<std::int64_t, Duration> missing;
  };
  void StartOperators();
  void ProposeConcurrently();
  void MonitorConfig();
  void ObserveConfig(const std::string& incarnation,
                     const Process& process,
                     const config::ConfigHolder& holder,
                     bool reachable);
  void CheckConfig();

  // --- Checks (cluster_checks.cc) ---
  void Check(std::size_t guarantee, bool ok, const std::string& text);
  bool CallersDone() const;
  bool CachesReleased() const;
  void CheckTurnOrder();
  void CheckHistories();
  void CheckBudgets();
  void CheckCaches();
  void CheckExecutedOnce();
  void CheckLeaving();
  void CheckCrashes();

  const Scenario scenario_;
  Simulator simulator_;
  Network network_;
  FakePlatform platform_;
  Outcome outcome_;
  // Visits to the step of each injection.
  std::vector<std::uint32_t> visits_;
  bool any_injected_ = false;

  std::vector<Execution> executions_;
  std::map<std::string, bool> servers_;  // address -> is an engine
  std::map<std::string, std::unique_ptr<FakeBackend>> backends_;
  std::map<std::string, std::unique_ptr<SidecarModel>> sidecars_;
  std::vector<std::unique_ptr<EntryModel>> entries_;
  std::vector<std::unique_ptr<CallerModel>> callers_;
  // Ended processes; pending events still refer to them.
  std::vector<std::unique_ptr<FakeBackend>> ended_backends_;
  std::vector<std::unique_ptr<SidecarModel>> ended_sidecars_;
  std::uint64_t incarnations_ = 0;
  bool sub_agent_started_ = false;
  std::vector<std::unique_ptr<OperatorModel>> operators_;
  std::map<std::string, ConfigObservation> config_observations_;
  int config_values_ = 0;

  struct HeldResponse {
    SidecarModel::Respond respond;
    ExecuteReply reply;
  };
  bool swap_next_ = false;
  std::optional<HeldResponse> held_response_;
  bool hang_next_ = false;
  bool crash_next_ = false;
  bool duplicate_next_ = false;
  TimePoint reports_lost_until_;
  TimePoint cache_events_lost_until_;
  // Number of events sent, by server.
  std::map<std::string, std::uint64_t> cache_events_;
  // Number of servers that a request has crashed, by its fingerprint.
  std::map<std::string, int> crashes_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_CLUSTER_H_
