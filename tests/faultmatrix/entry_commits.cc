#include <utility>

#include "entry_model.h"
#include "vanillalever/program/program_codec.h"
#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kGroupCommit = milliseconds(5);
constexpr Duration kRetry = milliseconds(200);

}  // namespace

void EntryModel::ScheduleCommit() {
  if (std::exchange(commit_scheduled_, true))
    return;
  host_.After(kGroupCommit, [this] {
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
    shard.programs->Collect(*batch_, world_.simulator().now());
    batch_shards_[number] = shard.recovery;
  }
  if (batch_->empty()) {
    batch_.reset();
    return;
  }
  batch_uncertain_ = false;
  world_.Probe(PathStep::kCommit, host_, this, "", true,
               [this] { SendBatch(); });
}

void EntryModel::SendBatch() {
  if (!batch_)
    return;
  program::TransactionPlan plan = batch_->plan();
  if (!world_.rule(Rule::kFencing))
    plan.conditions.clear();
  std::string token = plan.token;
  world_.platform().Transact(
      host_, plan,
      [this, token](const TransactionResult& result) {
        if (!batch_ || batch_->token() != token)
          return;
        if (result.applied)
          BatchApplied(result.version);
        else if (batch_uncertain_ && world_.rule(Rule::kTokenReadback))
          ReadBack(result.conflict_key);
        else
          BatchRejected(result.conflict_key);
      },
      [this, token](bool) {
        if (!batch_ || batch_->token() != token)
          return;
        batch_uncertain_ = true;
        host_.After(kRetry, [this] { SendBatch(); });
      });
}

void EntryModel::ReadBack(const std::string& conflict_key) {
  std::string key = batch_->ReadBackKey();
  std::string token = batch_->token();
  world_.platform().Read(
      host_, key,
      [this, key, token, conflict_key](const std::vector<TableRow>& rows) {
        if (!batch_ || batch_->token() != token)
          return;
        for (const TableRow& row : rows) {
          if (row.key == key && row.token == token) {
            BatchApplied(row.version);
            return;
          }
        }
        BatchRejected(conflict_key);
      },
      [this, token, conflict_key](bool) {
        if (batch_ && batch_->token() == token)
          host_.After(kRetry, [this, token, conflict_key] {
            if (batch_ && batch_->token() == token)
              ReadBack(conflict_key);
          });
      });
}

EntryModel::Shards::iterator EntryModel::FindBatched(std::uint32_t number) {
  auto it = shards_.find(number);
  bool same = it != shards_.end() && it->second.ready &&
              it->second.recovery == batch_shards_[number];
  return same ? it : shards_.end();
}

void EntryModel::BatchApplied(std::uint64_t version) {
  program::RecordBatch batch = std::move(*batch_);
  batch_.reset();
  std::vector<ProgramId> durable;
  for (std::uint32_t number : batch.shards()) {
    auto it = FindBatched(number);
    if (it == shards_.end())
      continue;
    auto ids = it->second.programs->CommitApplied(batch, version);
    durable.insert(durable.end(), ids.begin(), ids.end());
  }
  for (const ProgramId& id : durable)
    Advance(id);
  ScheduleCommit();
}

void EntryModel::BatchRejected(const std::string& conflict_key) {
  program::RecordBatch batch = std::move(*batch_);
  batch_.reset();
  program::ConflictSource party = batch.FindConflictSource(conflict_key);
  if (party.shard)
    DropShard(*party.shard);
  for (std::uint32_t number : batch.shards()) {
    auto it = FindBatched(number);
    if (it == shards_.end())
      continue;
    it->second.programs->CommitRejected(batch);
    // The head row can only differ when another process wrote it, or when an
    // own write was taken for a failed one: read everything again.
    if (party.program && party.program->shard() == number) {
      if (!world_.rule(Rule::kTokenReadback))
        RefuseAll(*party.program);
      DropShard(number);
    }
  }
  ScheduleCommit();
}

void EntryModel::RefuseAll(const ProgramId& id) {
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
