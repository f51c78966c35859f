#include "vanillalever/execution/cache_leases.h"

#include <cassert>

namespace vanillalever::execution {

CacheLeases::CacheLeases(CacheLeaseSettings settings) : settings_(settings) {}

void CacheLeases::Begin(const CacheHolder& holder, base::TimePoint now) {
  Lease& lease = leases_[holder];
  ++lease.running_calls;
  lease.generation = ++generation_;
  lease.expires_at = now + settings_.lease;
  lease.releasing = false;
}

void CacheLeases::End(const CacheHolder& holder,
                      std::uint64_t tokens,
                      base::TimePoint now) {
  auto it = leases_.find(holder);
  assert(it != leases_.end() && it->second.running_calls > 0);
  Lease& lease = it->second;
  --lease.running_calls;
  lease.tokens = tokens;
  lease.expires_at = now + settings_.lease;
  if (lease.releasing)
    lease.next_command_at = now;
}

ReleaseOutcome CacheLeases::Release(const CacheHolder& holder,
                                    base::TimePoint now) {
  Lease& lease = leases_[holder];
  if (!lease.releasing) {
    lease.releasing = true;
    lease.next_command_at = now;
  }
  return lease.running_calls > 0 ? ReleaseOutcome::kDeferred
                                 : ReleaseOutcome::kReleasing;
}

std::vector<ReleaseCommand> CacheLeases::TakeDueReleases(base::TimePoint now) {
  std::vector<ReleaseCommand> due;
  for (auto& [holder, lease] : leases_) {
    if (lease.running_calls > 0)
      continue;
    if (!lease.releasing && now >= lease.expires_at) {
      lease.releasing = true;
      lease.next_command_at = now;
    }
    if (!lease.releasing || now < lease.next_command_at)
      continue;
    lease.next_command_at = now + settings_.retry_interval;
    due.push_back({holder, lease.generation});
  }
  return due;
}

void CacheLeases::Confirm(const ReleaseCommand& command) {
  auto it = leases_.find(command.holder);
  if (it == leases_.end() || it->second.generation != command.generation)
    return;
  if (it->second.releasing && it->second.running_calls == 0)
    leases_.erase(it);
}

std::optional<std::uint64_t> CacheLeases::tokens(
    const CacheHolder& holder) const {
  auto it = leases_.find(holder);
  if (it == leases_.end() || it->second.releasing)
    return std::nullopt;
  return it->second.tokens;
}

std::vector<CacheHolder> CacheLeases::held() const {
  std::vector<CacheHolder> holders;
  for (const auto& [holder, lease] : leases_) {
    if (!lease.releasing)
      holders.push_back(holder);
  }
  return holders;
}

}  // namespace vanillalever::execution
