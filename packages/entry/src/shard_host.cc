#include "shard_host.h"

#include <utility>

namespace vanillalever::entry {
namespace {

// A new owner usually starts to serve within this time.
constexpr base::milliseconds kNotOwnerRetry{200};

base::Error Refusal(base::ErrorCode code, const std::string& message) {
  base::ErrorInfo info;
  info.code = code;
  info.step = base::Step::kAdmit;
  info.message = message;
  info.retry_after = kNotOwnerRetry;
  return base::Error(std::move(info));
}

}  // namespace

ShardPtr ShardHost::RequireOwned(std::uint32_t shard) const {
  if (ShardPtr found = Find(shard))
    return found;
  throw Refusal(base::ErrorCode::kNotOwner,
                "shard " + std::to_string(shard) + " is not owned here");
}

ShardPtr ShardHost::RequireAdmitting(std::uint32_t shard) const {
  ShardPtr found = RequireOwned(shard);
  const Slot& slot = slots_.at(shard);
  std::lock_guard lock(slot.mutex);
  if (slot.frozen) {
    throw Refusal(base::ErrorCode::kUnavailable,
                  "shard " + std::to_string(shard) + " is being handed over");
  }
  return found;
}

ShardPtr ShardHost::Find(std::uint32_t shard) const {
  const Slot& slot = slots_.at(shard);
  std::lock_guard lock(slot.mutex);
  return slot.shard;
}

void ShardHost::Install(ShardPtr shard) {
  Slot& slot = slots_.at(shard->shard());
  std::lock_guard lock(slot.mutex);
  // A slow recovery may finish after the recovery of a later ownership.
  if (slot.shard && slot.shard->fence() > shard->fence())
    return;
  slot.shard = std::move(shard);
  slot.frozen = false;
}

void ShardHost::Drop(std::uint32_t shard) {
  ShardPtr dropped;
  {
    Slot& slot = slots_.at(shard);
    std::lock_guard lock(slot.mutex);
    dropped = std::exchange(slot.shard, nullptr);
    slot.frozen = false;
  }
  if (dropped)
    dropped->Drop();
}

void ShardHost::SetFrozen(std::uint32_t shard, bool frozen) {
  Slot& slot = slots_.at(shard);
  std::lock_guard lock(slot.mutex);
  slot.frozen = frozen;
}

void ShardHost::CallStarted(std::uint32_t shard) {
  ++slots_.at(shard).active_calls;
}

void ShardHost::CallEnded(std::uint32_t shard) {
  --slots_.at(shard).active_calls;
}

int ShardHost::active_calls(std::uint32_t shard) const {
  return slots_.at(shard).active_calls;
}

std::vector<ShardPtr> ShardHost::all() const {
  std::vector<ShardPtr> shards;
  for (std::uint32_t i = 0; i < program::kShardCount; ++i) {
    if (ShardPtr shard = Find(i))
      shards.push_back(std::move(shard));
  }
  return shards;
}

}  // namespace vanillalever::entry
