#include "committer.h"

#include <thread>
#include <utility>

#include "vanillalever/base/logging.h"
#include "vanillalever/base/random.h"

namespace vanillalever::entry {
namespace {

// Also commits without being woken, so that no change waits indefinitely.
constexpr base::Duration kMaxCommitInterval = base::milliseconds(50);
constexpr base::Duration kReadRetryInterval = base::milliseconds(200);
// Time limit of one attempt; an undecided commit is then counted and repeated.
constexpr base::Duration kCommitAttemptTimeout = base::seconds(5);

platform::Transaction ToTransaction(const program::TransactionPlan& plan) {
  platform::Transaction transaction;
  transaction.token = plan.token;
  for (const auto& condition : plan.conditions)
    transaction.conditions.push_back({condition.key, condition.version});
  for (const auto& write : plan.writes)
    transaction.writes.push_back({write.key, write.value});
  return transaction;
}

base::ErrorInfo ShardLostError() {
  base::ErrorInfo info;
  info.code = base::ErrorCode::kNotOwner;
  info.step = base::Step::kCommit;
  info.message = "the program's shard has another owner";
  info.ran = base::ExecutionStatus::kUnknown;
  info.retry_after = base::milliseconds(200);
  return info;
}

}  // namespace

Committer::Committer(ShardHost& shards,
                     platform::PlatformStore& store,
                     base::Duration group_commit_window,
                     base::CounterRegistry& counters)
    : shards_(shards),
      store_(store),
      group_commit_window_(group_commit_window),
      commit_(store,
              clock_,
              [](base::Duration pause) { std::this_thread::sleep_for(pause); }),
      applied_commits_(counters.counter("vl_entry_commits_total",
                                        "Group commits that took effect.")),
      applied_rows_(
          counters.counter("vl_entry_commit_rows_total",
                           "Rows in group commits that took effect.")),
      conflicts_(counters.counter("vl_entry_commit_conflicts_total",
                                  "Group commits that were refused.")),
      undecided_commits_(
          counters.counter("vl_entry_commit_doubts_total",
                           "Rounds in which a commit's result stayed "
                           "open.")),
      thread_(kMaxCommitInterval, [this] { Run(); }) {}

void Committer::WhenDurable(const ShardPtr& shard,
                            const program::ProgramId& program,
                            std::uint64_t revision,
                            Callback callback) {
  {
    std::lock_guard lock(mutex_);
    waiters_.emplace(program, Waiter{shard, revision, std::move(callback)});
  }
  NotifyProgramWaiters(program);
  thread_.Wake();
}

std::size_t Committer::uncommitted() const {
  std::size_t count = 0;
  for (const ShardPtr& shard : shards_.all())
    count += shard->changed();
  return count;
}

void Committer::Stop() {
  stopping_ = true;
  thread_.Stop();
  std::multimap<program::ProgramId, Waiter> waiters;
  {
    std::lock_guard lock(mutex_);
    waiters.swap(waiters_);
  }
  for (auto& [id, waiter] : waiters)
    waiter.callback(ShardLostError());
}

void Committer::Run() {
  while (!stopping_) {
    if (group_commit_window_ > base::Duration(0))
      std::this_thread::sleep_for(group_commit_window_);
    program::RecordBatch batch({}, base::RandomId());
    std::vector<ShardPtr> shards = shards_.all();
    base::TimePoint now = clock_.now();
    for (const ShardPtr& shard : shards) {
      try {
        shard->Collect(batch, now);
      } catch (const base::Error&) {
        // The shard was dropped after it was listed.
      }
    }
    if (batch.empty())
      break;
    CommitBatch(batch, shards);
  }
  NotifyWaiters();
}

void Committer::CommitBatch(const program::RecordBatch& batch,
                            const std::vector<ShardPtr>& shards) {
  platform::Transaction transaction = ToTransaction(batch.plan());
  bool in_doubt = false;
  while (!stopping_) {
    auto result =
        commit_.Run(transaction, clock_.now() + kCommitAttemptTimeout);
    in_doubt =
        in_doubt || result.outcome == platform::CommitOutcome::kUndecided;
    // An earlier attempt may have been applied although its reply was lost.
    if (in_doubt && result.outcome == platform::CommitOutcome::kConflict)
      result = ReadBack(batch, result);
    if (result.outcome == platform::CommitOutcome::kApplied) {
      applied_commits_.Add();
      applied_rows_.Add(static_cast<std::int64_t>(batch.rows()));
      for (const ShardPtr& shard : shards) {
        try {
          shard->CommitApplied(batch, result.version);
        } catch (const base::Error&) {
          // The shard was dropped; its waiters are notified below.
        }
      }
      NotifyWaiters();
      return;
    }
    if (result.outcome == platform::CommitOutcome::kConflict) {
      conflicts_.Add();
      OnConflict(batch, shards, result.conflict_key);
      NotifyWaiters();
      return;
    }
    undecided_commits_.Add();
    bool all_dropped = true;
    for (const ShardPtr& shard : shards)
      all_dropped = all_dropped && shard->dropped();
    NotifyWaiters();
    if (all_dropped)
      return;
  }
}

// Resolves a conflict that follows an undecided attempt: the transaction was
// applied if its row holds its token. Retries until the platform answers.
platform::ReliableCommitResult Committer::ReadBack(
    const program::RecordBatch& batch,
    platform::ReliableCommitResult result) {
  while (!stopping_) {
    try {
      auto row = store_.Read(batch.ReadBackKey());
      if (row && row->token == batch.token()) {
        result.outcome = platform::CommitOutcome::kApplied;
        result.version = row->version;
      }
      return result;
    } catch (const base::Error&) {
      std::this_thread::sleep_for(kReadRetryInterval);
    }
  }
  result.outcome = platform::CommitOutcome::kUndecided;
  return result;
}

void Committer::OnConflict(const program::RecordBatch& batch,
                           const std::vector<ShardPtr>& shards,
                           const std::string& conflict_key) {
  program::ConflictSource source = batch.FindConflictSource(conflict_key);
  base::LogEvent(base::LogLevel::kWarning, "commit_conflict",
                 {{"key", conflict_key}});
  if (source.shard)
    shards_.Drop(*source.shard);
  for (const ShardPtr& shard : shards) {
    try {
      shard->CommitRejected(batch);
      // Another writer changed the program's row under the same ownership. The
      // stored row takes precedence: the program is removed from memory and
      // read again at its next use.
      if (source.program && source.program->shard() == shard->shard())
        shard->Remove(*source.program);
    } catch (const base::Error&) {
      // The shard was dropped.
    }
  }
}

// Runs the callbacks whose revision has become durable or whose shard was lost.
void Committer::NotifyWaiters() {
  std::vector<program::ProgramId> programs;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [program, waiter] : waiters_) {
      if (programs.empty() || programs.back() != program)
        programs.push_back(program);
    }
  }
  for (const program::ProgramId& program : programs)
    NotifyProgramWaiters(program);
}

void Committer::NotifyProgramWaiters(const program::ProgramId& program) {
  std::vector<std::pair<Callback, std::optional<base::ErrorInfo>>> ready;
  {
    std::lock_guard lock(mutex_);
    auto [begin, end] = waiters_.equal_range(program);
    for (auto it = begin; it != end;) {
      std::optional<base::ErrorInfo> error;
      bool durable = false;
      try {
        durable = it->second.shard->With(program, [&](program::Program& p) {
          return p.durable_revision() >= it->second.revision;
        });
      } catch (const base::Error& lost) {
        error = ShardLostError();
        error->message = lost.info().message;
      }
      if (!durable && !error) {
        ++it;
        continue;
      }
      ready.emplace_back(std::move(it->second.callback), error);
      it = waiters_.erase(it);
    }
  }
  for (auto& [callback, error] : ready)
    callback(error);
}

}  // namespace vanillalever::entry
