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

// What is known of a transaction when ReliableCommit returns.
enum class CommitOutcome {
  // Applied exactly once.
  kApplied,
  // Not applied, and never will be.
  kConflict,
  // Not applied: no attempt was sent before the deadline.
  kNotRun,
  // May have been applied, or may still be applied by a delayed request.
  kUndecided,
};

inline constexpr base::NameTable<CommitOutcome, 4> kCommitOutcomeNames({
    "applied",
    "conflict",
    "not_run",
    "undecided",
});

// Pauses between the attempts of one transaction.
struct ReliableCommitSettings {
  // Upper bound of the first pause; it doubles with each attempt.
  base::milliseconds initial_backoff{20};
  // Upper bound of every pause.
  base::milliseconds max_backoff{1000};
};

// Outcome with its details.
struct ReliableCommitResult {
  CommitOutcome outcome = CommitOutcome::kNotRun;
  // Version of the rows that the transaction wrote; zero unless applied.
  std::uint64_t version = 0;
  // Key of a condition that did not hold; empty unless the store reported one.
  std::string conflict_key;
  // Number of times the transaction was handed to the store.
  std::uint32_t attempts = 0;
  // Last error of the store, if any call failed.
  std::optional<base::ErrorInfo> last_error;
};

// Commits a transaction although answers of the store may be lost (rule R2):
// retries it with the same token and conditions, and after a conflict reads
// its rows back and looks for its own token. Thread-safe.
class ReliableCommit {
 public:
  using Sleep = std::function<void(base::Duration)>;

  // `store` and `clock` must outlive this object. `sleep` blocks the calling
  // thread for the given time.
  ReliableCommit(PlatformStore& store,
                 const base::Clock& clock,
                 Sleep sleep,
                 ReliableCommitSettings settings = {});

  // Starts no call to the store after `deadline`; the last call may end later
  // by the store's own timeout.
  //
  // At least one row must be both conditioned and written with a value.
  // Without such a row a late duplicate of the request could be applied a
  // second time, so that the call throws invalid_request.
  //
  // `write_once_key` may name a created row that nobody ever overwrites or
  // deletes, such as a turn record: its token then decides every doubt. A row
  // that the transaction creates must not be deleted while the outcome is in
  // doubt.
  ReliableCommitResult Run(const Transaction& transaction,
                           base::TimePoint deadline,
                           const std::string& write_once_key = "");

 private:
  // State of one Run.
  struct Attempt;

  void CommitOnce(Attempt& attempt);
  void ReadBack(Attempt& attempt);
  // Sleeps before the next call; returns false when the deadline is reached.
  bool Pause(Attempt& attempt) const;

  PlatformStore& store_;
  const base::Clock& clock_;
  const Sleep sleep_;
  const ReliableCommitSettings settings_;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_RELIABLE_COMMIT_H_
