#ifndef VANILLALEVER_FORWARDING_SERVER_REGISTRY_H_
#define VANILLALEVER_FORWARDING_SERVER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/backend_server.h"
#include "vanillalever/forwarding/request_rate_limit.h"
#include "vanillalever/forwarding/server_load.h"
#include "vanillalever/forwarding/version_history.h"

namespace vanillalever::forwarding {

// A registered server and its estimated load.
struct ServerSlot {
  BackendServer server;
  ServerLoad load;
  RequestRateLimit rate_limit;
  // The shared table names the server's software version among those that
  // serve; until then callers' streams should not begin there.
  bool version_stored = false;
  // The server has said that it leaves, whatever its registration says.
  bool leaving = false;
  // Set while the row is missing from the store but may return.
  std::optional<base::TimePoint> removal_deadline;
  // Removed from the registry; requests in progress may still hold the slot.
  bool removed = false;

  bool accepts_requests() const { return !removed && !announced_end(); }
  bool announced_end() const {
    return leaving || server.state == ServerState::kDraining;
  }
};

using ServerSlotPtr = std::shared_ptr<ServerSlot>;

// Settings of ServerRegistry.
struct RegistrySettings {
  // How long a server is kept whose row expired while the store was
  // unavailable: live servers re-register within about 2 s of the store's
  // return.
  base::milliseconds missing_grace{2000};
};

// Backend servers by id, from the store's rows. While the store is unavailable
// the last known servers stay; those whose rows expired meanwhile are kept for
// a grace period after its return. Not thread-safe.
class ServerRegistry {
 public:
  explicit ServerRegistry(RegistrySettings settings = {});

  // A row was written.
  void Put(BackendServer server);
  // A row was removed while the store was available.
  void Remove(const std::string& id);
  // A row was removed while the store was unavailable: the server is kept for
  // the grace period.
  void MarkMissing(const std::string& id, base::TimePoint now);
  // Calls MarkMissing() for all servers that a complete listing lacks.
  void MarkUnlistedMissing(const std::set<std::string>& listed,
                           base::TimePoint now);
  // Removes missing servers whose grace period is over. Returns their ids.
  std::vector<std::string> RemoveExpired(base::TimePoint now);

  // The server's run that began at `started_at_ms` has said that it leaves: it
  // takes no new requests, also if its row comes back. Returns whether this was
  // not known.
  bool MarkLeaving(const std::string& id, std::int64_t started_at_ms);

  // Servers of a service ordered by id, including draining ones.
  const std::vector<ServerSlotPtr>& servers(const std::string& service) const;
  ServerSlotPtr find(const std::string& id) const;
  // Server whose id has this base::Hash64 value; null if there is none.
  ServerSlotPtr find_by_id_hash(std::uint64_t id_hash) const;
  // Servers about which this gateway has something to announce to the others:
  // open requests, a limit that the server states, or that it leaves.
  std::vector<ServerSlotPtr> announced(base::TimePoint now) const;
  // Services that have or had registered servers.
  std::vector<std::string> services() const;
  // Software versions of a service's registered servers.
  std::set<std::string> versions(const std::string& service) const;
  // Sets ServerSlot::version_stored for the servers of a service.
  void MarkVersionsStored(const std::string& service,
                          const ServedVersions& stored);
  // See RequestRateLimit::SetReachableShare().
  void SetReachableShare(double share);
  // Ranks this gateway among the live ones for each server that states a limit;
  // see RequestRateLimit::SetRank(). `addresses`: all live gateways.
  void RankGateways(const std::string& own_address,
                    const std::vector<std::string>& addresses);
  // Removes the load of a gateway that has ended or is about to announce its
  // complete load.
  void RemovePeer(std::uint64_t peer);
  std::size_t size() const { return by_id_.size(); }

 private:
  void Erase(const std::string& id);
  void RebuildService(const std::string& service);

  RegistrySettings settings_;
  double reachable_share_ = 1;
  std::map<std::string, ServerSlotPtr> by_id_;
  // Start times of the runs that have said that they leave, by server.
  std::map<std::string, std::int64_t> leaving_;
  std::unordered_map<std::uint64_t, ServerSlotPtr> by_id_hash_;
  std::map<std::string, std::vector<ServerSlotPtr>> by_service_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_REGISTRY_H_
