#include "vanillalever/forwarding/server_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace vanillalever::forwarding {
namespace {

// Time before the server's own idle timeout at which a connection is closed.
constexpr base::milliseconds kIdleMargin{500};

}  // namespace

ServerPool::ServerPool(PoolSettings settings) : settings_(settings) {}

base::Duration ServerPool::IdleLimit(const ServerConnection& connection) const {
  auto stated = connection.idle_timeout();
  return stated ? base::Duration(*stated - kIdleMargin)
                : base::Duration(settings_.idle_limit);
}

std::shared_ptr<ServerConnection> ServerPool::Take(const std::string& server_id,
                                                   bool certain,
                                                   base::TimePoint now) {
  auto found = idle_.find(server_id);
  if (found == idle_.end() || found->second.empty())
    return nullptr;
  // The most recently used one is the least likely to be closed soon.
  auto connection = found->second.back();
  base::Duration idle = now - connection->idle_since();
  base::Duration limit = IdleLimit(*connection);
  if (certain) {
    limit = connection->idle_timeout()
                ? std::chrono::duration_cast<base::Duration>(
                      settings_.safe_idle_share * limit)
                : base::Duration(settings_.safe_idle_limit);
  }
  if (idle > limit)
    return nullptr;
  found->second.pop_back();
  return connection;
}

void ServerPool::Give(std::shared_ptr<ServerConnection> connection) {
  if (!connection->reusable())
    return connection->Close();
  auto* raw = connection.get();
  std::string id = connection->server_id();
  idle_[id].push_back(connection);
  connection->WatchIdle([this, id, raw] {
    auto& list = idle_[id];
    std::erase_if(list, [raw](const auto& kept) { return kept.get() == raw; });
  });
}

void ServerPool::Drop(const std::string& server_id) {
  auto found = idle_.find(server_id);
  if (found == idle_.end())
    return;
  for (const auto& connection : found->second)
    connection->Close();
  idle_.erase(found);
}

void ServerPool::Sweep(base::TimePoint now) {
  for (auto& [id, list] : idle_) {
    std::erase_if(list, [this, now](const auto& connection) {
      bool old = now - connection->idle_since() > IdleLimit(*connection);
      if (old)
        connection->Close();
      return old;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace vanillalever::forwarding
