#ifndef VANILLALEVER_TESTS_FAULTMATRIX_WORLD_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_WORLD_H_

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

// All processes of one schedule, the faults that strike them, and the checks
// of the promises from outside.
class World {
 public:
  explicit World(const Scenario& scenario);

  // Runs the schedule to its end and judges it.
  Outcome Run();

  // --- For the models ---
  Simulator& simulator() { return simulator_; }
  Network& network() { return network_; }
  FakePlatform& platform() { return platform_; }
  bool rule(Rule rule) const { return scenario_.without.count(rule) == 0; }
  membership::LeaseSettings lease_settings() const;
  membership::InstanceViewSettings instance_settings() const;
  guard::StrikeSettings strike_settings() const;

  // The fakes' ledger of everything that was executed.
  std::vector<Execution>& executions() { return executions_; }

  // Running processes, or null.
  FakeBackend* backend(const std::string& address);
  SidecarModel* sidecar(const std::string& address);
  EntryModel* entry(const std::string& incarnation);
  // An entry as the platform's load balancer chooses one.
  EntryModel* PickEntry();

  // A call has reached a step at `host`: faults may strike. `next` runs as
  // soon as the process may continue, or never if it was killed.
  void Probe(PathStep step,
             Host& host,
             EntryModel* entry,
             const std::string& sidecar,
             bool repeatable,
             const std::function<void()>& next);
  // Sends an answer, or exchanges it with another one.
  void CrossAnswer(Host& host,
                   const SidecarModel::Respond& respond,
                   const ExecuteReply& reply);
  // Whether the next execution hangs, or the next call crashes servers.
  bool TakeHang() { return std::exchange(hang_next_, false); }
  // Whether the next command reaches its sidecar twice.
  bool TakeDouble() { return std::exchange(double_next_, false); }
  bool TakeCrash() { return std::exchange(crash_next_, false); }
  bool reports_lost() const { return simulator_.now() < reports_lost_until_; }

  // Starts the caller of a sub-agent, for one program of each schedule.
  void StartChild(const program::ProgramId& parent);
  // Keys of the cache index.
  static std::uint64_t ProgramKey(const std::string& program);
  static std::uint32_t ServerIndex(const std::string& address);
  static std::string ServerName(std::uint32_t index);
  // Sends a cache event of an engine to the entries, late and not always.
  void PublishCache(const FakeBackend& backend,
                    const std::string& program,
                    std::int64_t tokens);
  void KillBackend(const std::string& address);
  void RestartSidecar(const std::string& address);
  void RestartEntry(EntryModel& entry);

  // --- Observations ---
  void NoteCrash(const std::string& fingerprint);
  // A planned stop has ended; `cut` requests were in flight.
  void NoteStop(const Host& host, std::size_t cut);
  void CheckNotRun(const std::string& program, std::uint32_t turn);
  void CheckAnswer(const std::string& program,
                   std::uint32_t turn,
                   const program::Answer& answer,
                   const std::optional<program::Answer>& earlier);

  // Offers a version to a process, or sets it whatever its number is when the
  // version check is switched off.
  void Offer(std::unique_ptr<config::ConfigHolder>& holder,
             const std::shared_ptr<const config::ConfigBody>& body) const;
  // A value for the next change of the configuration, never used before.
  int NextConfigValue() { return ++config_values_; }

 private:
  void StartServers();
  void StartEntry(const std::string& address);
  void StartSidecar(const std::string& address);
  void StartCallers();
  void PlanStops();
  void PublishInstances();
  // Makes a fault happen; false when there is nothing that it could strike.
  bool Apply(const Strike& strike,
             EntryModel* entry,
             const std::string& sidecar,
             bool repeatable);
  bool Fits(const Strike& strike, const std::string& sidecar) const;
  EntryModel* AnyEntry(const EntryModel* except);
  std::string AnySidecar(const std::string& preferred);
  std::string AnyBackend(const std::string& preferred, bool engine);

  // --- Configuration (world_config.cc) ---
  struct ConfigWatch {
    std::int64_t highest = 0;
    // How long each accepted version has been missing without a disturbance.
    std::map<std::int64_t, Duration> missing;
  };
  void StartOperators();
  void RaceOperators();
  void MonitorConfig();
  void Watch(const std::string& incarnation,
             const Host& host,
             const config::ConfigHolder& holder,
             bool reachable);
  void CheckConfig();

  // --- Checks (world_checks.cc) ---
  void Check(std::size_t promise, bool ok, const std::string& text);
  bool CallersDone() const;
  bool CachesReleased() const;
  void CheckOrder();
  void CheckHistories();
  void CheckBudgets();
  void CheckCaches();
  void CheckOnce();
  void CheckLeaving();
  void CheckCrashes();

  const Scenario scenario_;
  Simulator simulator_;
  Network network_;
  FakePlatform platform_;
  Outcome outcome_;
  // Visits per step and strike.
  std::vector<std::uint32_t> visits_;
  bool any_struck_ = false;

  std::vector<Execution> executions_;
  std::map<std::string, bool> servers_;  // address -> is an engine
  std::map<std::string, std::unique_ptr<FakeBackend>> backends_;
  std::map<std::string, std::unique_ptr<SidecarModel>> sidecars_;
  std::vector<std::unique_ptr<EntryModel>> entries_;
  std::vector<std::unique_ptr<CallerModel>> callers_;
  // Ended processes, kept because events still refer to them.
  std::vector<std::unique_ptr<FakeBackend>> ended_backends_;
  std::vector<std::unique_ptr<SidecarModel>> ended_sidecars_;
  std::uint64_t incarnations_ = 0;
  bool child_started_ = false;
  std::vector<std::unique_ptr<OperatorModel>> operators_;
  std::map<std::string, ConfigWatch> config_watches_;
  int config_values_ = 0;

  struct HeldAnswer {
    SidecarModel::Respond respond;
    ExecuteReply reply;
  };
  bool cross_next_ = false;
  std::optional<HeldAnswer> held_answer_;
  bool hang_next_ = false;
  bool crash_next_ = false;
  bool double_next_ = false;
  TimePoint reports_lost_until_;
  TimePoint cache_events_lost_until_;
  // Events sent, by server.
  std::map<std::string, std::uint64_t> cache_events_;
  // Servers ended by one request, by its fingerprint.
  std::map<std::string, int> crashes_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_WORLD_H_
