#include "vanillalever/forwarding/server_connection_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace vanillalever::forwarding {
namespace {

// A connection is closed this long before the server's idle timeout.
constexpr base::milliseconds kIdleCloseMargin{500};

}  // namespace

ServerConnectionPool::ServerConnectionPool(ConnectionPoolSettings settings)
    : settings_(settings) {}

base::Duration ServerConnectionPool::IdleLimit(
    const ServerConnection& connection) const {
  auto announced = connection.idle_timeout();
  return announced ? base::Duration(*announced - kIdleCloseMargin)
                   : base::Duration(settings_.idle_limit);
}

std::shared_ptr<ServerConnection> ServerConnectionPool::Take(
    const std::string& server_id,
    const std::string& request_id,
    bool non_repeatable,
    base::TimePoint now) {
  auto found = idle_.find(server_id);
  if (found == idle_.end() || found->second.empty())
    return nullptr;
  // The most recently used connection is the least likely to be closed soon.
  auto& list = found->second;
  auto usable = std::find_if(list.rbegin(), list.rend(),
                             [&request_id](const auto& connection) {
                               return !connection->refused_request(request_id);
                             });
  if (usable == list.rend())
    return nullptr;
  auto connection = *usable;
  base::Duration idle = now - connection->idle_since();
  base::Duration limit = IdleLimit(*connection);
  if (non_repeatable) {
    limit = connection->idle_timeout()
                ? std::chrono::duration_cast<base::Duration>(
                      settings_.safe_idle_share * limit)
                : base::Duration(settings_.safe_idle_limit);
  }
  if (idle > limit)
    return nullptr;
  list.erase(std::next(usable).base());
  return connection;
}

void ServerConnectionPool::Put(std::shared_ptr<ServerConnection> connection) {
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

void ServerConnectionPool::CloseIdle(const std::string& server_id) {
  auto found = idle_.find(server_id);
  if (found == idle_.end())
    return;
  for (const auto& connection : found->second)
    connection->Close();
  idle_.erase(found);
}

void ServerConnectionPool::CloseExpired(base::TimePoint now) {
  for (auto& [id, list] : idle_) {
    std::erase_if(list, [this, now](const auto& connection) {
      bool old = now - connection->idle_since() > IdleLimit(*connection);
      if (old)
        connection->Close();
      return old;
    });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace vanillalever::forwarding
