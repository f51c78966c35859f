#include "world.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kRestart = seconds(1);
constexpr Duration kWarmUp = milliseconds(2500);
// Longest schedule; programs that have not ended by then count as stalled.
constexpr Duration kHorizon = seconds(150);
// After the last program: longest wait for the cache to be released.
constexpr Duration kReleaseBound = seconds(20);

}  // namespace

World::World(const Scenario& scenario)
    : scenario_(scenario),
      simulator_(scenario.seed),
      network_(simulator_),
      platform_(simulator_, network_),
      visits_(scenario.strikes.size()) {
  outcome_.struck.resize(scenario.strikes.size());
}

membership::LeaseSettings World::lease_settings() const {
  membership::LeaseSettings settings;
  settings.term = seconds(3);
  settings.renew_interval = seconds(1);
  settings.clock_drift_margin = milliseconds(500);
  settings.max_read_gap = milliseconds(1500);
  return settings;
}

membership::InstanceViewSettings World::instance_settings() const {
  membership::InstanceViewSettings settings;
  settings.report_timeout = seconds(2);
  settings.listed_leaving_hold = seconds(3);
  settings.removal_delay = seconds(12);
  return settings;
}

guard::StrikeSettings World::strike_settings() const {
  guard::StrikeSettings settings;
  settings.alone_timeout = seconds(12);
  return settings;
}

Outcome World::Run() {
  StartOperators();
  StartServers();
  TimePoint start = simulator_.now();
  simulator_.After(kWarmUp, [this] { StartCallers(); });
  PlanStops();
  try {
    while (!CallersDone() && simulator_.now() < start + kHorizon)
      simulator_.Step();
    TimePoint end = simulator_.now();
    while (!CachesReleased() && simulator_.now() < end + kReleaseBound)
      simulator_.Step();
  } catch (const base::Error& error) {
    // A process would have ended here.
    Check(kPromiseCount, false, std::string("uncaught: ") + error.what());
    return outcome_;
  }
  CheckOrder();
  CheckHistories();
  CheckBudgets();
  CheckCaches();
  CheckOnce();
  CheckLeaving();
  CheckConfig();
  CheckCrashes();
  outcome_.steps = simulator_.steps();
  return outcome_;
}

// --- Processes ---------------------------------------------------------------

void World::StartServers() {
  servers_ = {
      {"m1", true}, {"m2", true}, {"m3", true}, {"t1", false}, {"t2", false}};
  for (const auto& [address, engine] : servers_) {
    backends_[address] =
        std::make_unique<FakeBackend>(*this, address, engine, ++incarnations_);
    network_.MarkSidecar(address);
    StartSidecar(address);
  }
  for (const char* address : {"e1", "e2", "e3"})
    StartEntry(address);
}

void World::StartSidecar(const std::string& address) {
  auto sidecar = std::make_unique<SidecarModel>(
      *this, address, address + "#" + std::to_string(++incarnations_),
      servers_.at(address));
  if (auto node = sidecars_.extract(address))
    ended_sidecars_.push_back(std::move(node.mapped()));
  sidecars_[address] = std::move(sidecar);
  sidecars_[address]->Start();
  PublishInstances();
}

void World::StartEntry(const std::string& address) {
  entries_.push_back(std::make_unique<EntryModel>(
      *this, address, address + "#" + std::to_string(++incarnations_)));
  entries_.back()->Start();
}

void World::StartCallers() {
  for (int i = 0; i < 3; ++i) {
    std::string key = "p" + std::to_string(i);
    int turns = 3 + static_cast<int>(simulator_.random().Below(4));
    // Some programs do not have the budget for all of their turns.
    std::int64_t budget = simulator_.Chance(25) ? 250 : 3000;
    callers_.push_back(std::make_unique<CallerModel>(
        *this, key, program::ProgramId(), budget, turns));
  }
  for (auto& caller : callers_) {
    simulator_.After(simulator_.Between(0, 800),
                     [caller = caller.get()] { caller->Start(); });
  }
}

void World::StartChild(const program::ProgramId& parent) {
  if (std::exchange(child_started_, true))
    return;
  callers_.push_back(
      std::make_unique<CallerModel>(*this, "child", parent, 300, 3));
  callers_.back()->Start();
}

void World::PlanStops() {
  simulator_.After(kWarmUp + simulator_.Between(500, 4000), [this] {
    if (SidecarModel* sidecar = this->sidecar(AnySidecar("")))
      sidecar->Stop();
    PublishInstances();
  });
  simulator_.After(kWarmUp + simulator_.Between(500, 5000), [this] {
    if (EntryModel* entry = AnyEntry(nullptr))
      entry->Stop();
  });
}

void World::PublishInstances() {
  FakePlatform::Instances instances;
  for (const auto& [address, sidecar] : sidecars_) {
    if (!sidecar->host().alive())
      continue;
    instances.push_back({address, "dc",
                         sidecar->engine() ? "models" : "tickets",
                         sidecar->leaving_since().has_value()});
  }
  platform_.SetInstances(std::move(instances));
}

FakeBackend* World::backend(const std::string& address) {
  auto it = backends_.find(address);
  return it == backends_.end() || !it->second->host().alive()
             ? nullptr
             : it->second.get();
}

SidecarModel* World::sidecar(const std::string& address) {
  auto it = sidecars_.find(address);
  return it == sidecars_.end() || !it->second->host().alive()
             ? nullptr
             : it->second.get();
}

EntryModel* World::entry(const std::string& incarnation) {
  for (const auto& entry : entries_) {
    if (entry->host().alive() && entry->incarnation() == incarnation)
      return entry.get();
  }
  return nullptr;
}

EntryModel* World::PickEntry() {
  std::vector<EntryModel*> found;
  for (const auto& entry : entries_) {
    if (entry->accepting())
      found.push_back(entry.get());
  }
  return found.empty() ? nullptr
                       : found[simulator_.random().Below(found.size())];
}

std::uint64_t World::ProgramKey(const std::string& program) {
  return base::Hash64(program);
}

std::uint32_t World::ServerIndex(const std::string& address) {
  return static_cast<std::uint32_t>(std::stoul(address.substr(1)));
}

std::string World::ServerName(std::uint32_t index) {
  return "m" + std::to_string(index);
}

void World::PublishCache(const FakeBackend& backend,
                         const std::string& program,
                         std::int64_t tokens) {
  scheduling::CacheEvent event;
  event.server = ServerIndex(backend.address());
  event.sequence = ++cache_events_[backend.address()];
  event.program = ProgramKey(program);
  event.tokens = static_cast<double>(tokens);
  event.time = simulator_.now();
  if (simulator_.now() < cache_events_lost_until_ && simulator_.Chance(70))
    return;
  for (const auto& entry : entries_) {
    entry->host().After(
        simulator_.Between(100, 1500),
        [entry = entry.get(), event] { entry->cache_index().OnEvent(event); });
  }
}

void World::KillBackend(const std::string& address) {
  FakeBackend* ended = backend(address);
  if (ended == nullptr)
    return;
  ended->host().Kill();
  network_.Break(ended->host());
  simulator_.After(kRestart, [this, address] {
    auto node = backends_.extract(address);
    bool engine = node.mapped()->engine();
    ended_backends_.push_back(std::move(node.mapped()));
    backends_[address] =
        std::make_unique<FakeBackend>(*this, address, engine, ++incarnations_);
  });
}

void World::RestartSidecar(const std::string& address) {
  SidecarModel* ended = sidecar(address);
  if (ended == nullptr)
    return;
  ended->host().Kill();
  network_.Break(ended->host());
  PublishInstances();
  simulator_.After(kRestart, [this, address] { StartSidecar(address); });
}

void World::RestartEntry(EntryModel& entry) {
  if (!entry.host().alive())
    return;
  entry.host().Kill();
  network_.Break(entry.host());
  simulator_.After(kRestart, [this, address = entry.host().address()] {
    StartEntry(address);
  });
}

// --- Faults ------------------------------------------------------------------

void World::Probe(PathStep step,
                  Host& host,
                  EntryModel* entry,
                  const std::string& sidecar,
                  bool repeatable,
                  const std::function<void()>& next) {
  for (std::size_t i = 0; i < scenario_.strikes.size(); ++i) {
    const Strike& strike = scenario_.strikes[i];
    if (outcome_.struck[i] || strike.step != step || !Fits(strike, sidecar))
      continue;
    if (++visits_[i] < strike.occurrence)
      continue;
    // Tries again at the next visit when there was nothing to strike.
    outcome_.struck[i] = Apply(strike, entry, sidecar, repeatable);
    any_struck_ = any_struck_ || outcome_.struck[i];
  }
  if (!host.alive())
    return;
  if (host.paused())
    host.After(Duration(0), next);
  else
    next();
}

bool World::Fits(const Strike& strike, const std::string& sidecar) const {
  // These strike a server of one kind, on the path of a call to it.
  auto server = servers_.find(sidecar);
  if (server == servers_.end())
    return true;
  if (strike.fault == Fault::kKillEngine)
    return server->second;
  if (strike.fault == Fault::kKillService)
    return !server->second;
  return true;
}

EntryModel* World::AnyEntry(const EntryModel* except) {
  std::vector<EntryModel*> found;
  for (const auto& entry : entries_) {
    if (entry->accepting() && entry.get() != except)
      found.push_back(entry.get());
  }
  return found.empty() ? nullptr
                       : found[simulator_.random().Below(found.size())];
}

std::string World::AnySidecar(const std::string& preferred) {
  if (sidecar(preferred) != nullptr)
    return preferred;
  auto it = sidecars_.begin();
  std::advance(it, simulator_.random().Below(sidecars_.size()));
  return it->first;
}

std::string World::AnyBackend(const std::string& preferred, bool engine) {
  if (auto it = servers_.find(preferred);
      it != servers_.end() && it->second == engine) {
    return preferred;
  }
  return engine ? "m" + std::to_string(1 + simulator_.random().Below(3))
                : "t" + std::to_string(1 + simulator_.random().Below(2));
}

bool World::Apply(const Strike& strike,
                  EntryModel* entry,
                  const std::string& sidecar_address,
                  bool repeatable) {
  EntryModel* owner = entry != nullptr ? entry : AnyEntry(nullptr);
  EntryModel* other = AnyEntry(owner);
  std::string address = AnySidecar(sidecar_address);
  SidecarModel* near = sidecar(address);
  std::string owner_address = owner == nullptr ? "e1" : owner->host().address();
  switch (strike.fault) {
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
      KillBackend(AnyBackend(sidecar_address, true));
      break;
    case Fault::kKillService:
      KillBackend(AnyBackend(sidecar_address, false));
      break;
    case Fault::kPauseOwner:
      if (owner == nullptr)
        return false;
      owner->host().Pause(simulator_.Between(4500, 9000));
      break;
    case Fault::kPauseSidecar:
      if (near == nullptr)
        return false;
      near->host().Pause(simulator_.Between(2000, 14000));
      break;
    case Fault::kCutSidecar:
      network_.Cut(owner_address, address, simulator_.Between(1000, 8000),
                   false);
      break;
    case Fault::kHalfOpenSidecar:
      network_.Cut(owner_address, address, simulator_.Between(1000, 8000),
                   true);
      break;
    case Fault::kCutEntries:
      if (other == nullptr)
        return false;
      network_.Cut(owner_address, other->host().address(),
                   simulator_.Between(1000, 8000), simulator_.Chance(50));
      break;
    case Fault::kCutCaller: {
      auto& caller = callers_[simulator_.random().Below(callers_.size())];
      network_.Cut(caller->host().address(), owner_address,
                   simulator_.Between(1000, 8000), simulator_.Chance(50));
      break;
    }
    case Fault::kAnswerDelayed:
      network_.FaultNextAnswer(AnswerFault::kDelayed);
      break;
    case Fault::kAnswerDoubled:
      network_.FaultNextAnswer(AnswerFault::kDoubled);
      double_next_ = true;
      break;
    case Fault::kAnswerCrossed:
      cross_next_ = true;
      break;
    case Fault::kPlatformDown:
      platform_.Down(simulator_.Between(1500, 9000));
      break;
    case Fault::kPlatformSlow:
      platform_.Slow(simulator_.Between(3000, 9000));
      break;
    case Fault::kPlatformLostAnswer:
      platform_.LoseResponses(1 + static_cast<int>(repeatable) * 2);
      break;
    case Fault::kListStale:
      platform_.FreezeList(simulator_.Between(4000, 10000));
      break;
    case Fault::kListGap:
      platform_.GapList(simulator_.Between(3000, 8000));
      break;
    case Fault::kReportsLost:
      reports_lost_until_ = simulator_.now() + simulator_.Between(1500, 6000);
      break;
    case Fault::kHungTool:
      hang_next_ = true;
      break;
    case Fault::kCrashRequest:
      crash_next_ = true;
      break;
    case Fault::kStopEntry:
      if (owner == nullptr)
        return false;
      owner->Stop();
      break;
    case Fault::kStopSidecar:
      if (near == nullptr)
        return false;
      near->Stop();
      PublishInstances();
      break;
    case Fault::kOperatorsRace:
      RaceOperators();
      break;
    case Fault::kCacheEventsGap:
      cache_events_lost_until_ =
          simulator_.now() + simulator_.Between(1000, 6000);
      break;
  }
  return true;
}

void World::CrossAnswer(Host& host,
                        const SidecarModel::Respond& respond,
                        const ExecuteReply& reply) {
  if (held_answer_) {
    HeldAnswer held = std::move(*held_answer_);
    held_answer_.reset();
    held.respond(reply);
    respond(held.reply);
    return;
  }
  if (!std::exchange(cross_next_, false)) {
    respond(reply);
    return;
  }
  held_answer_ = HeldAnswer{respond, reply};
  // With no second answer the first one is only late.
  host.After(seconds(3), [this] {
    if (!held_answer_)
      return;
    HeldAnswer held = std::move(*held_answer_);
    held_answer_.reset();
    held.respond(held.reply);
  });
}

}  // namespace vanillalever::faultmatrix
