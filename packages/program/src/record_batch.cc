#include "vanillalever/program/record_batch.h"

#include <set>
#include <utility>

#include "vanillalever/base/error.h"

namespace vanillalever::program {

namespace {

std::size_t SizeOf(const RowWrite& write) {
  return write.key.size() + (write.value ? write.value->size() : 0);
}

[[noreturn]] void ThrowUsageError(std::string message) {
  throw base::NotRunError(base::ErrorCode::kInternal, base::Step::kCommit,
                          std::move(message));
}

}  // namespace

RecordBatch::RecordBatch(const RecordBatchSettings& settings, std::string token)
    : settings_(settings), token_(std::move(token)) {}

bool RecordBatch::Add(const ShardCondition& shard,
                      const std::vector<ProgramChange>& group) {
  std::string shard_key = ShardKey(shard.shard);
  auto present = conditions_.find(shard_key);
  if (present != conditions_.end() && present->second != shard.version)
    ThrowUsageError("shard " + std::to_string(shard.shard) +
                    " has two versions");
  // The first group of a shard also adds the shard's condition.
  std::size_t added_rows = present == conditions_.end() ? 1 : 0;
  std::size_t added_bytes = added_rows * shard_key.size();
  for (const ProgramChange& change : group) {
    if (heads_.contains(change.head_key))
      ThrowUsageError("program " + change.id.text() + " is in the batch twice");
    added_rows += 1 + change.writes.size();
    added_bytes += change.head_key.size();
    for (const RowWrite& write : change.writes)
      added_bytes += SizeOf(write);
  }
  bool fits = rows() + added_rows <= settings_.max_rows &&
              bytes_ + added_bytes <= settings_.max_bytes;
  if (!fits && !empty())
    return false;
  conditions_.emplace(shard_key, shard.version);
  shards_.emplace(shard_key, shard.shard);
  for (const ProgramChange& change : group) {
    conditions_.emplace(change.head_key, change.expected_version);
    heads_.emplace(change.head_key, change.id);
    for (const RowWrite& write : change.writes)
      writes_.insert_or_assign(write.key, write.value);
  }
  bytes_ += added_bytes;
  return true;
}

TransactionPlan RecordBatch::plan() const {
  TransactionPlan plan;
  plan.token = token_;
  plan.conditions.reserve(conditions_.size());
  for (const auto& [key, shard] : shards_)
    plan.conditions.push_back({key, conditions_.at(key)});
  for (const auto& [key, id] : heads_)
    plan.conditions.push_back({key, conditions_.at(key)});
  plan.writes.reserve(writes_.size());
  for (const auto& [key, value] : writes_)
    plan.writes.push_back({key, value});
  return plan;
}

std::vector<ProgramId> RecordBatch::programs(std::uint32_t shard) const {
  std::vector<ProgramId> ids;
  for (const auto& [key, id] : heads_) {
    if (id.shard() == shard)
      ids.push_back(id);
  }
  return ids;
}

std::vector<std::uint32_t> RecordBatch::shards() const {
  std::set<std::uint32_t> numbers;
  for (const auto& [key, shard] : shards_)
    numbers.insert(shard);
  return {numbers.begin(), numbers.end()};
}

ConflictSource RecordBatch::FindConflictSource(
    std::string_view conflict_key) const {
  ConflictSource source;
  if (auto shard = shards_.find(conflict_key); shard != shards_.end())
    source.shard = shard->second;
  if (auto head = heads_.find(conflict_key); head != heads_.end())
    source.program = head->second;
  return source;
}

std::string RecordBatch::ReadBackKey() const {
  return heads_.empty() ? std::string() : heads_.begin()->first;
}

std::string RecordBatch::ShardKey(std::uint32_t shard) {
  return "shard/" + std::to_string(shard);
}

}  // namespace vanillalever::program
