#include "vanillalever/forwarding/server_registry.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::forwarding {
namespace {

// Runs of servers that are remembered after they have said that they leave.
constexpr std::size_t kMaxLeaving = 4096;

}  // namespace

ServerRegistry::ServerRegistry(RegistrySettings settings)
    : settings_(settings) {}

void ServerRegistry::Put(BackendServer server) {
  ServerSlotPtr& slot = by_id_[server.id];
  bool restarted =
      slot && (slot->server.address != server.address ||
               slot->server.service != server.service ||
               slot->server.software_version != server.software_version ||
               slot->server.started_at_ms != server.started_at_ms);
  if (restarted)
    Erase(server.id);
  ServerSlotPtr& current = by_id_[server.id];
  std::string service = server.service;
  if (current) {
    current->server = std::move(server);
    current->removal_deadline.reset();
    return;
  }
  current = std::make_shared<ServerSlot>();
  current->server = std::move(server);
  auto leaving = leaving_.find(current->server.id);
  current->leaving = leaving != leaving_.end() &&
                     leaving->second == current->server.started_at_ms;
  current->rate_limit.SetReachableShare(reachable_share_);
  by_id_hash_[base::Hash64(current->server.id)] = current;
  RebuildService(service);
}

void ServerRegistry::Remove(const std::string& id) {
  Erase(id);
}

void ServerRegistry::MarkMissing(const std::string& id, base::TimePoint now) {
  ServerSlotPtr slot = find(id);
  if (slot && !slot->removal_deadline)
    slot->removal_deadline = now + settings_.missing_grace;
}

void ServerRegistry::MarkUnlistedMissing(const std::set<std::string>& listed,
                                         base::TimePoint now) {
  for (const auto& [id, slot] : by_id_) {
    if (!listed.contains(id))
      MarkMissing(id, now);
  }
}

bool ServerRegistry::MarkLeaving(const std::string& id,
                                 std::int64_t started_at_ms) {
  ServerSlotPtr slot = find(id);
  if (slot && (slot->leaving || slot->server.started_at_ms != started_at_ms))
    return false;
  if (leaving_.size() >= kMaxLeaving)
    leaving_.erase(leaving_.begin());
  leaving_[id] = started_at_ms;
  if (slot)
    slot->leaving = true;
  return slot != nullptr;
}

std::vector<std::string> ServerRegistry::RemoveExpired(base::TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [id, slot] : by_id_) {
    if (slot->removal_deadline && *slot->removal_deadline <= now)
      expired.push_back(id);
  }
  for (const std::string& id : expired)
    Erase(id);
  return expired;
}

const std::vector<ServerSlotPtr>& ServerRegistry::servers(
    const std::string& service) const {
  static const std::vector<ServerSlotPtr> none;
  auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

ServerSlotPtr ServerRegistry::find(const std::string& id) const {
  auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

ServerSlotPtr ServerRegistry::find_by_id_hash(std::uint64_t id_hash) const {
  auto found = by_id_hash_.find(id_hash);
  return found == by_id_hash_.end() ? nullptr : found->second;
}

std::vector<std::string> ServerRegistry::services() const {
  std::vector<std::string> names;
  for (const auto& [name, slots] : by_service_)
    names.push_back(name);
  return names;
}

std::set<std::string> ServerRegistry::versions(
    const std::string& service) const {
  std::set<std::string> versions;
  for (const ServerSlotPtr& slot : servers(service))
    versions.insert(slot->server.software_version);
  return versions;
}

void ServerRegistry::MarkVersionsStored(const std::string& service,
                                        const ServedVersions& stored) {
  for (const ServerSlotPtr& slot : servers(service))
    slot->version_stored = stored.contains(slot->server.software_version);
}

void ServerRegistry::RankGateways(const std::string& own_address,
                                  const std::vector<std::string>& addresses) {
  for (const auto& [id, slot] : by_id_) {
    if (!slot->rate_limit.per_second())
      continue;
    // Rendezvous hashing.
    auto weight = [&server = id](const std::string& address) {
      return base::Hash64(server, base::Hash64(address));
    };
    auto ahead = std::count_if(
        addresses.begin(), addresses.end(),
        [&weight, own = weight(own_address)](const std::string& address) {
          return weight(address) > own;
        });
    slot->rate_limit.SetRank(static_cast<std::size_t>(ahead));
  }
}

std::vector<ServerSlotPtr> ServerRegistry::announced(
    base::TimePoint now) const {
  std::vector<ServerSlotPtr> slots;
  for (const auto& [id, slot] : by_id_) {
    if (slot->load.local_open() > 0 || slot->leaving ||
        slot->rate_limit.recent_statement(now))
      slots.push_back(slot);
  }
  return slots;
}

void ServerRegistry::SetReachableShare(double share) {
  if (std::exchange(reachable_share_, share) == share)
    return;
  for (const auto& [id, slot] : by_id_)
    slot->rate_limit.SetReachableShare(share);
}

void ServerRegistry::RemovePeer(std::uint64_t peer) {
  for (const auto& [id, slot] : by_id_)
    slot->load.RemovePeer(peer);
}

void ServerRegistry::Erase(const std::string& id) {
  auto found = by_id_.find(id);
  if (found == by_id_.end())
    return;
  ServerSlotPtr slot = found->second;
  slot->removed = true;
  by_id_hash_.erase(base::Hash64(id));
  by_id_.erase(found);
  RebuildService(slot->server.service);
}

void ServerRegistry::RebuildService(const std::string& service) {
  std::vector<ServerSlotPtr>& list = by_service_[service];
  list.clear();
  for (const auto& [id, slot] : by_id_) {
    if (slot->server.service == service)
      list.push_back(slot);
  }
}

}  // namespace vanillalever::forwarding
