#include "cluster.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kRestartDelay = seconds(1);
constexpr Duration kCallerStartDelay = milliseconds(2500);
// Programs that have not ended by then count as stalled.
constexpr Duration kMaxScheduleDuration = seconds(150);
// Maximum time from the last program's end to the release of its cache.
constexpr Duration kMaxReleaseDelay = seconds(20);

}  // namespace

Cluster::Cluster(const Scenario& scenario)
    : scenario_(scenario),
      simulator_(scenario.seed),
      network_(simulator_),
      platform_(simulator_, network_),
      visits_(scenario.injections.size()) {
  outcome_.injected.resize(scenario.injections.size());
}

membership::LeaseSettings Cluster::lease_settings() const {
  membership::LeaseSettings settings;
  settings.term = seconds(3);
  settings.renew_interval = seconds(1);
  settings.clock_drift_margin = milliseconds(500);
  settings.max_read_gap = milliseconds(1500);
  return settings;
}

membership::InstanceViewSettings Cluster::instance_settings() const {
  membership::InstanceViewSettings settings;
  settings.report_timeout = seconds(2);
  settings.listed_leaving_hold = seconds(3);
  settings.removal_delay = seconds(12);
  return settings;
}

guard::StrikeSettings Cluster::strike_settings() const {
  guard::StrikeSettings settings;
  settings.run_alone_timeout = seconds(12);
  return settings;
}

Outcome Cluster::Run() {
  StartOperators();
  StartServers();
  TimePoint start = simulator_.now();
  simulator_.Schedule(kCallerStartDelay, [this] { StartCallers(); });
  SchedulePlannedStops();
  try {
    while (!CallersDone() && simulator_.now() < start + kMaxScheduleDuration)
      simulator_.RunNext();
    TimePoint end = simulator_.now();
    while (!CachesReleased() && simulator_.now() < end + kMaxReleaseDelay)
      simulator_.RunNext();
  } catch (const base::Error& error) {
    // A real process would have terminated here.
    Check(kGuaranteeCount, false,
          std::string("uncaught error: ") + error.what());
    return outcome_;
  }
  CheckTurnOrder();
  CheckHistories();
  CheckBudgets();
  CheckCaches();
  CheckExecutedOnce();
  CheckLeaving();
  CheckConfig();
  CheckCrashes();
  outcome_.steps = simulator_.steps();
  return outcome_;
}

// --- Processes ---------------------------------------------------------------

void Cluster::StartServers() {
  servers_ = {
      {"m1", true}, {"m2", true}, {"m3", true}, {"t1", false}, {"t2", false}};
  for (const auto& [address, engine] : servers_) {
    backends_[address] =
        std::make_unique<FakeBackend>(*this, address, engine, ++incarnations_);
    network_.AddSidecarAddress(address);
    StartSidecar(address);
  }
  for (const char* address : {"e1", "e2", "e3"})
    StartEntry(address);
}

void Cluster::StartSidecar(const std::string& address) {
  auto sidecar = std::make_unique<SidecarModel>(
      *this, address, address + "#" + std::to_string(++incarnations_),
      servers_.at(address));
  if (auto node = sidecars_.extract(address))
    ended_sidecars_.push_back(std::move(node.mapped()));
  sidecars_[address] = std::move(sidecar);
  sidecars_[address]->Start();
  UpdateInstanceList();
}

void Cluster::StartEntry(const std::string& address) {
  entries_.push_back(std::make_unique<EntryModel>(
      *this, address, address + "#" + std::to_string(++incarnations_)));
  entries_.back()->Start();
}

void Cluster::StartCallers() {
  for (int i = 0; i < 3; ++i) {
    std::string key = "p" + std::to_string(i);
    int turns = 3 + static_cast<int>(simulator_.random().Below(4));
    // Some budgets do not cover all turns.
    std::int64_t budget = simulator_.RandomChance(25) ? 250 : 3000;
    callers_.push_back(std::make_unique<CallerModel>(
        *this, key, program::ProgramId(), budget, turns));
  }
  for (auto& caller : callers_) {
    simulator_.Schedule(simulator_.RandomDuration(0, 800),
                        [caller = caller.get()] { caller->Start(); });
  }
}

void Cluster::StartSubAgent(const program::ProgramId& parent) {
  if (std::exchange(sub_agent_started_, true))
    return;
  callers_.push_back(
      std::make_unique<CallerModel>(*this, "child", parent, 300, 3));
  callers_.back()->Start();
}

void Cluster::SchedulePlannedStops() {
  simulator_.Schedule(
      kCallerStartDelay + simulator_.RandomDuration(500, 4000), [this] {
        if (SidecarModel* sidecar = this->sidecar(ChooseSidecar("")))
          sidecar->Stop();
        UpdateInstanceList();
      });
  simulator_.Schedule(kCallerStartDelay + simulator_.RandomDuration(500, 5000),
                      [this] {
                        if (EntryModel* entry = ChooseEntry(nullptr))
                          entry->Stop();
                      });
}

void Cluster::UpdateInstanceList() {
  FakePlatform::Instances instances;
  for (const auto& [address, sidecar] : sidecars_) {
    if (!sidecar->process().alive())
      continue;
    instances.push_back({address, "dc",
                         sidecar->engine() ? "models" : "tickets",
                         sidecar->leaving_since().has_value()});
  }
  platform_.SetInstances(std::move(instances));
}

FakeBackend* Cluster::backend(const std::string& address) {
  auto it = backends_.find(address);
  return it == backends_.end() || !it->second->process().alive()
             ? nullptr
             : it->second.get();
}

SidecarModel* Cluster::sidecar(const std::string& address) {
  auto it = sidecars_.find(address);
  return it == sidecars_.end() || !it->second->process().alive()
             ? nullptr
             : it->second.get();
}

EntryModel* Cluster::entry(const std::string& incarnation) {
  for (const auto& entry : entries_) {
    if (entry->process().alive() && entry->incarnation() == incarnation)
      return entry.get();
  }
  return nullptr;
}

EntryModel* Cluster::PickEntry() {
  std::vector<EntryModel*> found;
  for (const auto& entry : entries_) {
    if (entry->accepting())
      found.push_back(entry.get());
  }
  return found.empty() ? nullptr
                       : found[simulator_.random().Below(found.size())];
}

std::uint64_t Cluster::ProgramKey(const std::string& program) {
  return base::Hash64(program);
}

std::uint32_t Cluster::ServerIndex(const std::string& address) {
  return static_cast<std::uint32_t>(std::stoul(address.substr(1)));
}

std::string Cluster::ServerName(std::uint32_t index) {
  return "m" + std::to_string(index);
}

void Cluster::PublishCacheEvent(const FakeBackend& backend,
                                const std::string& program,
                                std::int64_t tokens) {
  scheduling::CacheEvent event;
  event.server = ServerIndex(backend.address());
  event.sequence = ++cache_events_[backend.address()];
  event.program = ProgramKey(program);
  event.tokens = static_cast<double>(tokens);
  event.time = simulator_.now();
  if (simulator_.now() < cache_events_lost_until_ &&
      simulator_.RandomChance(70))
    return;
  for (const auto& entry : entries_) {
    entry->process().Schedule(
        simulator_.RandomDuration(100, 1500),
        [entry = entry.get(), event] { entry->cache_index().OnEvent(event); });
  }
}

void Cluster::KillBackend(const std::string& address) {
  FakeBackend* ended = backend(address);
  if (ended == nullptr)
    return;
  ended->process().Kill();
  network_.CloseConnections(ended->process());
  simulator_.Schedule(kRestartDelay, [this, address] {
    auto node = backends_.extract(address);
    bool engine = node.mapped()->engine();
    ended_backends_.push_back(std::move(node.mapped()));
    backends_[address] =
        std::make_unique<FakeBackend>(*this, address, engine, ++incarnations_);
  });
}

void Cluster::RestartSidecar(const std::string& address) {
  SidecarModel* ended = sidecar(address);
  if (ended == nullptr)
    return;
  ended->process().Kill();
  network_.CloseConnections(ended->process());
  UpdateInstanceList();
  simulator_.Schedule(kRestartDelay,
                      [this, address] { StartSidecar(address); });
}

void Cluster::RestartEntry(EntryModel& entry) {
  if (!entry.process().alive())
    return;
  entry.process().Kill();
  network_.CloseConnections(entry.process());
  simulator_.Schedule(
      kRestartDelay,
      [this, address = entry.process().address()] { StartEntry(address); });
}

// --- Faults ------------------------------------------------------------------

void Cluster::InjectFaults(PathStep step,
                           Process& process,
                           EntryModel* entry,
                           const std::string& sidecar,
                           bool repeatable,
                           const std::function<void()>& next) {
  for (std::size_t i = 0; i < scenario_.injections.size(); ++i) {
    const FaultInjection& injection = scenario_.injections[i];
    if (outcome_.injected[i] || injection.step != step ||
        !Matches(injection, sidecar))
      continue;
    if (++visits_[i] < injection.occurrence)
      continue;
    // Without a target, the injection is attempted again at the next visit.
    outcome_.injected[i] = Inject(injection, entry, sidecar, repeatable);
    any_injected_ = any_injected_ || outcome_.injected[i];
  }
  if (!process.alive())
    return;
  if (process.paused())
    process.Schedule(Duration(0), next);
  else
    next();
}

bool Cluster::Matches(const FaultInjection& injection,
                      const std::string& sidecar) const {
  // These faults apply to servers of one kind only.
  auto server = servers_.find(sidecar);
  if (server == servers_.end())
    return true;
  if (injection.fault == Fault::kKillEngine)
    return server->second;
  if (injection.fault == Fault::kKillService)
    return !server->second;
  return true;
}

EntryModel* Cluster::ChooseEntry(const EntryModel* except) {
  std::vector<EntryModel*> found;
  for (const auto& entry : entries_) {
    if (entry->accepting() && entry.get() != except)
      found.push_back(entry.get());
  }
  return found.empty() ? nullptr
                       : found[simulator_.random().Below(found.size())];
}

std::string Cluster::ChooseSidecar(const std::string& preferred) {
  if (sidecar(preferred) != nullptr)
    return preferred;
  auto it = sidecars_.begin();
  std::advance(it, simulator_.random().Below(sidecars_.size()));
  return it->first;
}

std::string Cluster::ChooseBackend(const std::string& preferred, bool engine) {
  if (auto it = servers_.find(preferred);
      it != servers_.end() && it->second == engine) {
    return preferred;
  }
  return engine ? "m" + std::to_string(1 + simulator_.random().Below(3))
                : "t" + std::to_string(1 + simulator_.random().Below(2));
}

bool Cluster::Inject(const FaultInjection& injection,
                     EntryModel* entry,
                     const std::string& sidecar_address,
                     bool repeatable) {
  EntryModel* owner = entry != nullptr ? entry : ChooseEntry(nullptr);
  EntryModel* other = ChooseEntry(owner);
  std::string address = ChooseSidecar(sidecar_address);
  SidecarModel* target = sidecar(address);
  std::string owner_address =
      owner == nullptr ? "e1" : owner->process().address();
  switch (injection.fault) {
    case Fault::kKillEntry:
      if (other == nullptr)
        return false;
      RestartEntry(*other);
      break;
    case Fault::kKillOwner:
      if (owner == nullptr)
        return false;
      RestartEntry(*owner);
      break;
    case Fault::kKillSidecar:
      RestartSidecar(address);
      break;
    case Fault::kKillEngine:
      KillBackend(ChooseBackend(sidecar_address, true));
      break;
    case Fault::kKillService:
      KillBackend(ChooseBackend(sidecar_address, false));
      break;
    case Fault::kPauseOwner:
      if (owner == nullptr)
        return false;
      owner->process().Pause(simulator_.RandomDuration(4500, 9000));
      break;
    case Fault::kPauseSidecar:
      if (target == nullptr)
        return false;
      target->process().Pause(simulator_.RandomDuration(2000, 14000));
      break;
    case Fault::kPartitionSidecar:
      network_.Partition(owner_address, address,
                         simulator_.RandomDuration(1000, 8000), false);
      break;
    case Fault::kHalfOpenSidecar:
      network_.Partition(owner_address, address,
                         simulator_.RandomDuration(1000, 8000), true);
      break;
    case Fault::kPartitionEntries:
      if (other == nullptr)
        return false;
      network_.Partition(owner_address, other->process().address(),
                         simulator_.RandomDuration(1000, 8000),
                         simulator_.RandomChance(50));
      break;
    case Fault::kPartitionCaller: {
      auto& caller = callers_[simulator_.random().Below(callers_.size())];
      network_.Partition(caller->process().address(), owner_address,
                         simulator_.RandomDuration(1000, 8000),
                         simulator_.RandomChance(50));
      break;
    }
    case Fault::kResponseDelayed:
      network_.InjectResponseFault(ResponseFault::kDelayed);
      break;
    case Fault::kResponseDuplicated:
      network_.InjectResponseFault(ResponseFault::kDuplicated);
      duplicate_next_ = true;
      break;
    case Fault::kResponsesSwapped:
      swap_next_ = true;
      break;
    case Fault::kPlatformUnavailable:
      platform_.SetUnavailable(simulator_.RandomDuration(1500, 9000));
      break;
    case Fault::kPlatformSlow:
      platform_.SetSlow(simulator_.RandomDuration(3000, 9000));
      break;
    case Fault::kPlatformLostResponse:
      platform_.LoseResponses(1 + static_cast<int>(repeatable) * 2);
      break;
    case Fault::kInstanceListStale:
      platform_.FreezeInstanceList(simulator_.RandomDuration(4000, 10000));
      break;
    case Fault::kInstanceListIncomplete:
      platform_.OmitInstances(simulator_.RandomDuration(3000, 8000));
      break;
    case Fault::kReportsLost:
      reports_lost_until_ =
          simulator_.now() + simulator_.RandomDuration(1500, 6000);
      break;
    case Fault::kHungService:
      hang_next_ = true;
      break;
    case Fault::kCrashingRequest:
      crash_next_ = true;
      break;
    case Fault::kStopEntry:
      if (owner == nullptr)
        return false;
      owner->Stop();
      break;
    case Fault::kStopSidecar:
      if (target == nullptr)
        return false;
      target->Stop();
      UpdateInstanceList();
      break;
    case Fault::kConcurrentOperators:
      ProposeConcurrently();
      break;
    case Fault::kCacheEventsLost:
      cache_events_lost_until_ =
          simulator_.now() + simulator_.RandomDuration(1000, 6000);
      break;
  }
  return true;
}

void Cluster::RespondOrSwap(Process& process,
                            const SidecarModel::Respond& respond,
                            const ExecuteReply& reply) {
  if (held_response_) {
    HeldResponse held = std::move(*held_response_);
    held_response_.reset();
    held.respond(reply);
    respond(held.reply);
    return;
  }
  if (!std::exchange(swap_next_, false)) {
    respond(reply);
    return;
  }
  held_response_ = HeldResponse{respond, reply};
  // Without a second response the first one is only delayed.
  process.Schedule(seconds(3), [this] {
    if (!held_response_)
      return;
    HeldResponse held = std::move(*held_response_);
    held_response_.reset();
    held.respond(held.reply);
  });
}

}  // namespace vanillalever::faultmatrix
