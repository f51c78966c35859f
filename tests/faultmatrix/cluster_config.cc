#include <algorithm>
#include <utility>

#include "cluster.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr std::size_t kP10 = 9;
constexpr Duration kMonitorInterval = milliseconds(250);
// Maximum time until an accepted version is in force, not counting time in
// which the process or its connection to the platform was faulty.
constexpr Duration kMaxConfigDelay = seconds(8);

}  // namespace

void Cluster::OfferConfig(
    std::unique_ptr<config::ConfigHolder>& holder,
    const std::shared_ptr<const config::ConfigBody>& body) const {
  if (body == nullptr)
    return;
  if (!enabled(Safeguard::kVersionCheck))
    holder = std::make_unique<config::ConfigHolder>();
  holder->Offer(body);
}

void Cluster::StartOperators() {
  for (const char* name : {"operator1", "operator2"})
    operators_.push_back(std::make_unique<OperatorModel>(*this, name));
  operators_[0]->Propose("a");
  simulator_.Schedule(simulator_.RandomDuration(3000, 6000),
                      [this] { operators_[0]->Propose("b"); });
  simulator_.Schedule(simulator_.RandomDuration(4000, 9000),
                      [this] { operators_[1]->Propose("a"); });
  MonitorConfig();
}

void Cluster::ProposeConcurrently() {
  for (auto& each : operators_)
    each->Propose("a");
}

void Cluster::MonitorConfig() {
  for (const auto& entry : entries_) {
    bool reachable = entry->process().running() && platform_.healthy();
    ObserveConfig(entry->incarnation(), entry->process(), entry->config(),
                  reachable);
  }
  for (const auto& [address, sidecar] : sidecars_) {
    // Sidecars receive versions from the entries that list them.
    bool reachable = sidecar->process().running() && platform_.healthy() &&
                     platform_.instance_list_current() && !reports_lost() &&
                     !network_.partitioned(address);
    ObserveConfig(sidecar->incarnation(), sidecar->process(), sidecar->config(),
                  reachable);
  }
  simulator_.Schedule(kMonitorInterval, [this] { MonitorConfig(); });
}

void Cluster::ObserveConfig(const std::string& incarnation,
                            const Process& process,
                            const config::ConfigHolder& holder,
                            bool reachable) {
  if (!process.alive())
    return;
  std::int64_t number = holder.number();
  ConfigObservation& observation = config_observations_[incarnation];
  if (number < observation.highest)
    Check(kP10, false, incarnation + " reverted to an older version");
  observation.highest = std::max(observation.highest, number);
  if (!reachable)
    return;
  for (const auto& each : operators_) {
    for (const AcceptedChange& accepted : each->accepted()) {
      if (accepted.version <= number)
        continue;
      Duration& missing = observation.missing[accepted.version];
      missing += kMonitorInterval;
      if (missing > kMaxConfigDelay)
        Check(
            kP10, false,
            incarnation + " lacks version " + std::to_string(accepted.version));
    }
  }
}

void Cluster::CheckConfig() {
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
  // Every accepted change is in its version, and no later version reverts it: a
  // later change of the same object is based on that version or a newer one.
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
    // Stops at a change whose operator does not know yet that it was accepted.
    for (auto it = bodies.find(version);
         it != bodies.end() && accepted.count(it->first) > 0; ++it) {
      kept = kept && it->second.set.Find(id) == object;
    }
    Check(kP10, kept, id.text() + " was reverted");
  }
}

}  // namespace vanillalever::faultmatrix
