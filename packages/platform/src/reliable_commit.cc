#include "vanillalever/platform/reliable_commit.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::platform {
namespace {

// Version that the transaction requires of the row, or nullopt if it is not
// conditional on that row.
std::optional<std::uint64_t> RequiredVersion(const Transaction& transaction,
                                             const std::string& key) {
  for (const Condition& condition : transaction.conditions) {
    if (condition.key == key)
      return condition.version;
  }
  return std::nullopt;
}

void RequireRetrySafe(const Transaction& transaction) {
  bool safe = std::any_of(transaction.writes.begin(), transaction.writes.end(),
                          [&transaction](const RowWrite& write) {
                            return write.value &&
                                   RequiredVersion(transaction, write.key);
                          });
  if (!safe)
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kStore,
                            "a retried transaction must write a row on whose "
                            "version it is conditional");
}

}  // namespace

struct ReliableCommit::RunState {
  const Transaction& transaction;
  const base::TimePoint deadline;
  const std::string& write_once_key;
  ReliableCommitResult result;
  // Whether a response was lost, so that the transaction may have been applied.
  bool in_doubt = false;
  // Whether the store reported a conflict while in doubt.
  bool must_read_back = false;
  // Whether the outcome is final.
  bool decided = false;
  // Determines the backoff.
  std::uint32_t failed_calls = 0;

  void SetOutcome(CommitOutcome outcome, std::uint64_t version = 0) {
    result.outcome = outcome;
    result.version = version;
    decided = true;
  }
};

ReliableCommit::ReliableCommit(PlatformStore& store,
                               const base::Clock& clock,
                               Sleep sleep,
                               ReliableCommitSettings settings)
    : store_(store),
      clock_(clock),
      sleep_(std::move(sleep)),
      settings_(settings) {}

ReliableCommitResult ReliableCommit::Run(const Transaction& transaction,
                                         base::TimePoint deadline,
                                         const std::string& write_once_key) {
  ValidateTransaction(transaction);
  RequireRetrySafe(transaction);
  RunState state{transaction, deadline, write_once_key, {}};
  while (!state.decided && clock_.now() < deadline) {
    try {
      if (state.must_read_back)
        ReadBack(state);
      else
        CommitOnce(state);
    } catch (const base::Error& error) {
      if (error.info().code == base::ErrorCode::kInvalidRequest)
        throw;
      state.result.last_error = error.info();
      state.in_doubt |= error.info().ran != base::ExecutionStatus::kNotRun;
      if (!Backoff(state))
        break;
    }
  }
  if (!state.decided)
    state.result.outcome =
        state.in_doubt ? CommitOutcome::kUndecided : CommitOutcome::kNotRun;
  return state.result;
}

void ReliableCommit::CommitOnce(RunState& state) {
  ++state.result.attempts;
  CommitResult response = store_.Commit(state.transaction);
  if (response.applied)
    return state.SetOutcome(CommitOutcome::kApplied, response.version);
  state.result.conflict_key = response.conflict_key;
  if (state.in_doubt)
    state.must_read_back = true;
  else
    state.SetOutcome(CommitOutcome::kConflict);
}

// After the conflict no copy of the transaction can be applied any more,
// because versions are never reused. The state of the rows is therefore
// conclusive.
void ReliableCommit::ReadBack(RunState& state) {
  bool unchanged = false;
  for (const RowWrite& write : state.transaction.writes) {
    if (!write.value)
      continue;
    std::optional<Row> row = store_.Read(write.key);
    if (row && row->token == state.transaction.token)
      return state.SetOutcome(CommitOutcome::kApplied, row->version);
    std::uint64_t version = row ? row->version : kAbsent;
    unchanged |= RequiredVersion(state.transaction, write.key) == version;
    unchanged |= write.key == state.write_once_key;
  }
  // If every row was overwritten by others, that may have happened before or
  // after this transaction.
  state.SetOutcome(unchanged ? CommitOutcome::kConflict
                             : CommitOutcome::kUndecided);
}

bool ReliableCommit::Backoff(RunState& state) const {
  base::TimePoint now = clock_.now();
  if (now >= state.deadline)
    return false;
  constexpr std::uint32_t kMaxDoublings = 10;
  base::Duration max_delay = std::min<base::Duration>(
      settings_.max_backoff,
      settings_.initial_backoff *
          (1U << std::min(state.failed_calls, kMaxDoublings)));
  ++state.failed_calls;
  // Full jitter, derived from the token: it differs between writers and is
  // reproducible in tests.
  std::uint64_t random =
      base::Hash64(state.transaction.token, state.failed_calls);
  base::Duration delay(static_cast<base::Duration::rep>(
      random % (static_cast<std::uint64_t>(max_delay.count()) + 1)));
  sleep_(std::min(delay, state.deadline - now));
  return true;
}

}  // namespace vanillalever::platform
