#ifndef VANILLALEVER_PLATFORM_RELIABLE_COMMIT_H_
#define VANILLALEVER_PLATFORM_RELIABLE_COMMIT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/platform/platform_store.h"

namespace vanillalever::platform {

// What is known about a transaction when ReliableCommit returns.
enum class CommitOutcome {
  // Applied exactly once.
  kApplied,
  // Not applied, and cannot be applied later.
  kConflict,
  // Not applied: every attempt before the deadline failed without having run.
  kNotRun,
  // May have been applied, or may yet be applied by a delayed request.
  kUndecided,
};

inline constexpr base::NameTable<CommitOutcome, 4> kCommitOutcomeNames({
    "applied",
    "conflict",
    "not_run",
    "undecided",
});

// Backoff between the attempts of a transaction.
struct ReliableCommitSettings {
  // Maximum delay after the first failure; doubles with each further failure.
  base::milliseconds initial_backoff{20};
  // Limit of the maximum delay.
  base::milliseconds max_backoff{1000};
};

// Outcome of a transaction and its details.
struct ReliableCommitResult {
  CommitOutcome outcome = CommitOutcome::kNotRun;
  // Version of the rows that the transaction wrote; zero unless applied.
  std::uint64_t version = 0;
  // Key of a condition that was not met; empty unless the store reported one.
  std::string conflict_key;
  // Number of Commit() calls to the store.
  std::uint32_t attempts = 0;
  // Error of the last failed store call, if any.
  std::optional<base::ErrorInfo> last_error;
};

// Commits a transaction although responses of the store may be lost. Retries it
// with the same token and conditions. If a conflict follows a lost response,
// reads the rows back to look for that token. Thread-safe.
class ReliableCommit {
 public:
  using Sleep = std::function<void(base::Duration)>;

  // `store` and `clock` must outlive this object. `sleep` blocks the calling
  // thread for the given duration.
  ReliableCommit(PlatformStore& store,
                 const base::Clock& clock,
                 Sleep sleep,
                 ReliableCommitSettings settings = {});

  // Starts no call to the store after `deadline`; the last call may exceed it
  // by the store's own timeout.
  //
  // The transaction must write a value to at least one row on whose version it
  // is conditional. Otherwise a late duplicate of the request could be applied
  // a second time, and Run() throws invalid_request.
  //
  // `write_once_key` may name a row that the transaction creates and that is
  // never overwritten or deleted, such as a turn record. Its token then
  // resolves any uncertain outcome. Rows that the transaction creates must not
  // be deleted while the outcome is in doubt.
  ReliableCommitResult Run(const Transaction& transaction,
                           base::TimePoint deadline,
                           const std::string& write_once_key = "");

 private:
  // State of one Run() call.
  struct RunState;

  void CommitOnce(RunState& state);
  void ReadBack(RunState& state);
  // Sleeps before the next call. Returns false if the deadline has passed.
  bool Backoff(RunState& state) const;

  PlatformStore& store_;
  const base::Clock& clock_;
  const Sleep sleep_;
  const ReliableCommitSettings settings_;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_RELIABLE_COMMIT_H_
