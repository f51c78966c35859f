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
#include "vanillalever/forwarding/server_load.h"

namespace vanillalever::forwarding {

// A registered server together with what this process knows of its load.
struct ServerSlot {
  BackendServer server;
  ServerLoad load;
  // Set while the entry is missing from the store but may come back.
  std::optional<base::TimePoint> lapse_deadline;
  // The entry is gone; requests in progress still hold the slot.
  bool removed = false;

  bool accepts_requests() const {
    return !removed && server.state == ServerState::kReady;
  }
};

using ServerSlotPtr = std::shared_ptr<ServerSlot>;

// Settings of ServerRegistry.
struct RegistrySettings {
  // How long an entry that lapsed while the store was away is kept after the
  // store's return: live servers re-register within about two seconds.
  base::milliseconds lapse_grace{2000};
};

// Backend servers by identity, from the store's rows. While the store is away
// the last view stays in force; entries that lapsed meanwhile are kept for a
// grace period after its return. Not thread-safe.
class ServerRegistry {
 public:
  explicit ServerRegistry(RegistrySettings settings = {});

  // A row was written.
  void Put(BackendServer server);
  // A row was removed while the store was reachable.
  void Remove(const std::string& id);
  // A row was removed while the store was away: the server is kept for the
  // grace period.
  void Lapse(const std::string& id, base::TimePoint now);
  // A complete listing names these servers: all others lapse.
  void LapseUnlisted(const std::set<std::string>& listed, base::TimePoint now);
  // Drops lapsed servers whose grace period is over. Returns their identities.
  std::vector<std::string> ExpireLapsed(base::TimePoint now);

  // Servers of a service in order of identity, draining ones included.
  const std::vector<ServerSlotPtr>& servers(const std::string& service) const;
  ServerSlotPtr find(const std::string& id) const;
  // Server whose identity has this hash (base::Hash64); null if there is none.
  ServerSlotPtr find_by_id_hash(std::uint64_t key) const;
  // Servers at which this process has requests open.
  std::vector<ServerSlotPtr> busy() const;
  // Another entry has ended, or is about to list all its load.
  void RemovePeer(std::uint64_t peer);
  std::size_t size() const { return by_id_.size(); }

 private:
  void Erase(const std::string& id);
  void RebuildService(const std::string& service);

  RegistrySettings settings_;
  std::map<std::string, ServerSlotPtr> by_id_;
  std::unordered_map<std::uint64_t, ServerSlotPtr> by_key_;
  std::map<std::string, std::vector<ServerSlotPtr>> by_service_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_REGISTRY_H_
