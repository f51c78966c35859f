#include <utility>

#include "cluster.h"
#include "entry_model.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kGroupCommitDelay = milliseconds(5);
constexpr Duration kRetryDelay = milliseconds(200);

}  // namespace

void EntryModel::ScheduleCommit() {
  if (std::exchange(commit_scheduled_, true))
    return;
  process_.Schedule(kGroupCommitDelay, [this] {
    commit_scheduled_ = false;
    Collect();
  });
}

void EntryModel::Collect() {
  if (batch_)
    return;
  batch_.emplace(program::RecordBatchSettings(), NewToken());
  batch_shards_.clear();
  for (auto& [number, shard] : shards_) {
    if (!shard.ready)
      continue;
    shard.programs->Collect(*batch_, cluster_.simulator().now());
    batch_shards_[number] = shard.recovery;
  }
  if (batch_->empty()) {
    batch_.reset();
    return;
  }
  batch_uncertain_ = false;
  cluster_.InjectFaults(PathStep::kCommit, process_, this, "", true,
                        [this] { SendBatch(); });
}

void EntryModel::SendBatch() {
  if (!batch_)
    return;
  program::TransactionPlan plan = batch_->plan();
  if (!cluster_.enabled(Safeguard::kFencing))
    plan.conditions.clear();
  std::string token = plan.token;
  cluster_.platform().Transact(
      process_, plan,
      [this, token](const TransactionResult& result) {
        if (!batch_ || batch_->token() != token)
          return;
        if (result.applied)
          OnBatchApplied(result.version);
        else if (batch_uncertain_ &&
                 cluster_.enabled(Safeguard::kCommitReadBack))
          ReadBack(result.conflict_key);
        else
          OnBatchRejected(result.conflict_key);
      },
      [this, token](bool) {
        if (!batch_ || batch_->token() != token)
          return;
        batch_uncertain_ = true;
        process_.Schedule(kRetryDelay, [this] { SendBatch(); });
      });
}

void EntryModel::ReadBack(const std::string& conflict_key) {
  std::string key = batch_->ReadBackKey();
  std::string token = batch_->token();
  cluster_.platform().Read(
      process_, key,
      [this, key, token, conflict_key](const std::vector<TableRow>& rows) {
        if (!batch_ || batch_->token() != token)
          return;
        for (const TableRow& row : rows) {
          if (row.key == key && row.token == token) {
            OnBatchApplied(row.version);
            return;
          }
        }
        OnBatchRejected(conflict_key);
      },
      [this, token, conflict_key](bool) {
        if (batch_ && batch_->token() == token)
          process_.Schedule(kRetryDelay, [this, token, conflict_key] {
            if (batch_ && batch_->token() == token)
              ReadBack(conflict_key);
          });
      });
}

EntryModel::Shards::iterator EntryModel::FindBatchedShard(
    std::uint32_t number) {
  auto it = shards_.find(number);
  bool same = it != shards_.end() && it->second.ready &&
              it->second.recovery == batch_shards_[number];
  return same ? it : shards_.end();
}

void EntryModel::OnBatchApplied(std::uint64_t version) {
  program::RecordBatch batch = std::move(*batch_);
  batch_.reset();
  std::vector<ProgramId> durable;
  for (std::uint32_t number : batch.shards()) {
    auto it = FindBatchedShard(number);
    if (it == shards_.end())
      continue;
    auto ids = it->second.programs->CommitApplied(batch, version);
    durable.insert(durable.end(), ids.begin(), ids.end());
  }
  for (const ProgramId& id : durable)
    SendDurableReplies(id);
  ScheduleCommit();
}

void EntryModel::OnBatchRejected(const std::string& conflict_key) {
  program::RecordBatch batch = std::move(*batch_);
  batch_.reset();
  program::ConflictSource source = batch.FindConflictSource(conflict_key);
  if (source.shard)
    DropShard(*source.shard);
  for (std::uint32_t number : batch.shards()) {
    auto it = FindBatchedShard(number);
    if (it == shards_.end())
      continue;
    it->second.programs->CommitRejected(batch);
    // The head row differs only if another process wrote it, or if a local
    // write was wrongly taken for a failed one: recover the shard.
    if (source.program && source.program->shard() == number) {
      if (!cluster_.enabled(Safeguard::kCommitReadBack))
        RejectWaitingCalls(*source.program);
      DropShard(number);
    }
  }
  ScheduleCommit();
}

void EntryModel::RejectWaitingCalls(const ProgramId& id) {
  CallerReply reply;
  reply.error.code = base::ErrorCode::kConflict;
  reply.error.ran = base::ExecutionStatus::kNotRun;
  for (auto& [key, call] : calls_) {
    if (key.first != id)
      continue;
    for (const Respond& respond : std::exchange(call.waiting, {}))
      Reply(respond, reply);
  }
}

}  // namespace vanillalever::faultmatrix
