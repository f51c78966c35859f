#include "vanillalever/platform/reliable_commit.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::platform {
namespace {

// Version that the transaction requires of the row; nothing if it requires
// none.
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
    throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kStore,
                       "a retried transaction must write a row on whose "
                       "version it is conditional");
}

}  // namespace

struct ReliableCommit::Attempt {
  const Transaction& transaction;
  const base::TimePoint deadline;
  const std::string& permanent_key;
  ReliableCommitResult result;
  // Set once an answer was lost: the transaction may have been applied.
  bool in_doubt = false;
  // Set when the store reported a conflict while in doubt.
  bool read_back = false;
  // Set when the outcome is final.
  bool decided = false;
  // Number of failed calls, for the backoff.
  std::uint32_t failures = 0;

  void Decide(CommitOutcome outcome, std::uint64_t version = 0) {
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
                                         const std::string& permanent_key) {
  ValidateTransaction(transaction);
  RequireRetrySafe(transaction);
  Attempt attempt{transaction, deadline, permanent_key, {}};
  while (!attempt.decided && clock_.now() < deadline) {
    try {
      if (attempt.read_back)
        ReadBack(attempt);
      else
        CommitOnce(attempt);
    } catch (const base::Error& error) {
      if (error.info().code == base::ErrorCode::kInvalidRequest)
        throw;
      attempt.result.last_error = error.info();
      attempt.in_doubt |= error.info().ran != base::ExecutionStatus::kNotRun;
      if (!Pause(attempt))
        break;
    }
  }
  if (!attempt.decided)
    attempt.result.outcome =
        attempt.in_doubt ? CommitOutcome::kUndecided : CommitOutcome::kNotRun;
  return attempt.result;
}

void ReliableCommit::CommitOnce(Attempt& attempt) {
  ++attempt.result.attempts;
  CommitResult answer = store_.Commit(attempt.transaction);
  if (answer.applied)
    return attempt.Decide(CommitOutcome::kApplied, answer.version);
  attempt.result.conflict_key = answer.conflict_key;
  if (attempt.in_doubt)
    attempt.read_back = true;
  else
    attempt.Decide(CommitOutcome::kConflict);
}

// The conflict proves that no copy of the transaction can be applied from now
// on, because versions never repeat. What the rows show is therefore final.
void ReliableCommit::ReadBack(Attempt& attempt) {
  bool unchanged = false;
  for (const RowWrite& write : attempt.transaction.writes) {
    if (!write.value)
      continue;
    std::optional<Row> row = store_.Read(write.key);
    if (row && row->token == attempt.transaction.token)
      return attempt.Decide(CommitOutcome::kApplied, row->version);
    std::uint64_t version = row ? row->version : kAbsent;
    unchanged |= RequiredVersion(attempt.transaction, write.key) == version;
    unchanged |= write.key == attempt.permanent_key;
  }
  // Every row was overwritten by others, before or after this transaction.
  attempt.Decide(unchanged ? CommitOutcome::kConflict
                           : CommitOutcome::kUndecided);
}

bool ReliableCommit::Pause(Attempt& attempt) const {
  base::TimePoint now = clock_.now();
  if (now >= attempt.deadline)
    return false;
  constexpr std::uint32_t kMaxDoublings = 10;
  base::Duration bound = std::min<base::Duration>(
      settings_.max_backoff,
      settings_.first_backoff *
          (1U << std::min(attempt.failures, kMaxDoublings)));
  ++attempt.failures;
  // Full jitter. The token makes it differ between writers and the same in
  // every run of a test.
  std::uint64_t draw =
      base::Hash64(attempt.transaction.token, attempt.failures);
  base::Duration pause(static_cast<base::Duration::rep>(
      draw % (static_cast<std::uint64_t>(bound.count()) + 1)));
  sleep_(std::min(pause, attempt.deadline - now));
  return true;
}

}  // namespace vanillalever::platform
