#include <algorithm>
#include <utility>

#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr std::size_t kP10 = 9;
constexpr Duration kMonitorInterval = milliseconds(250);
// Time within which an accepted version must be in force, not counting time in
// which the process or its way to the platform was disturbed.
constexpr Duration kForceBound = seconds(8);

}  // namespace

void World::Offer(std::unique_ptr<config::ConfigHolder>& holder,
                  const std::shared_ptr<const config::ConfigBody>& body) const {
  if (body == nullptr)
    return;
  if (!rule(Rule::kVersionCheck))
    holder = std::make_unique<config::ConfigHolder>();
  holder->Offer(body);
}

void World::StartOperators() {
  for (const char* name : {"operator1", "operator2"})
    operators_.push_back(std::make_unique<OperatorModel>(*this, name));
  operators_[0]->Propose("a");
  simulator_.After(simulator_.Between(3000, 6000),
                   [this] { operators_[0]->Propose("b"); });
  simulator_.After(simulator_.Between(4000, 9000),
                   [this] { operators_[1]->Propose("a"); });
  MonitorConfig();
}

void World::RaceOperators() {
  for (auto& each : operators_)
    each->Propose("a");
}

void World::MonitorConfig() {
  for (const auto& entry : entries_) {
    bool reachable = entry->host().running() && platform_.healthy();
    Watch(entry->incarnation(), entry->host(), entry->config(), reachable);
  }
  for (const auto& [address, sidecar] : sidecars_) {
    // Sidecars learn versions from the entries that list them.
    bool reachable = sidecar->host().running() && platform_.healthy() &&
                     platform_.list_current() && !reports_lost() &&
                     !network_.disturbed(address);
    Watch(sidecar->incarnation(), sidecar->host(), sidecar->config(),
          reachable);
  }
  simulator_.After(kMonitorInterval, [this] { MonitorConfig(); });
}

void World::Watch(const std::string& incarnation,
                  const Host& host,
                  const config::ConfigHolder& holder,
                  bool reachable) {
  if (!host.alive())
    return;
  std::int64_t number = holder.number();
  ConfigWatch& watch = config_watches_[incarnation];
  if (number < watch.highest)
    Check(kP10, false, incarnation + " went back to an older version");
  watch.highest = std::max(watch.highest, number);
  if (!reachable)
    return;
  for (const auto& each : operators_) {
    for (const AcceptedChange& accepted : each->accepted()) {
      if (accepted.version <= number)
        continue;
      Duration& missing = watch.missing[accepted.version];
      missing += kMonitorInterval;
      if (missing > kForceBound)
        Check(
            kP10, false,
            incarnation + " lacks version " + std::to_string(accepted.version));
    }
  }
}

void World::CheckConfig() {
  std::vector<TableRow> rows;
  for (const auto& [key, row] : platform_.table()) {
    if (key.starts_with("config/"))
      rows.push_back(row);
  }
  auto bodies = ConfigBodies(rows);
  std::map<std::int64_t, AcceptedChange> accepted;
  for (const auto& each : operators_) {
    for (const AcceptedChange& change : each->accepted())
      accepted[change.version] = change;
  }
  // Every accepted change is in its version, and no later version reverts it:
  // a change of the same object was made against it.
  std::map<config::ObjectId, std::int64_t> latest;
  for (const auto& [version, change] : accepted) {
    const config::Object& object = change.change.put.at(0);
    config::ObjectId id = config::IdOf(object);
    bool present =
        bodies.count(version) > 0 && bodies.at(version).set.Find(id) == object;
    Check(kP10, present, id.text() + " is not in its version");
    if (auto before = latest.find(id); before != latest.end()) {
      Check(kP10, change.change.base_version >= before->second,
            id.text() + " was changed by two operators at once");
    }
    latest[id] = version;
  }
  for (const auto& [id, version] : latest) {
    const config::Object& object = accepted.at(version).change.put.at(0);
    bool kept = true;
    // Ends at a change whose operator has not been told of its acceptance yet.
    for (auto it = bodies.find(version);
         it != bodies.end() && accepted.count(it->first) > 0; ++it) {
      kept = kept && it->second.set.Find(id) == object;
    }
    Check(kP10, kept, id.text() + " was reverted");
  }
}

}  // namespace vanillalever::faultmatrix
