#ifndef VANILLALEVER_BASE_ERROR_H_
#define VANILLALEVER_BASE_ERROR_H_

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

#include "vanillalever/base/name_table.h"

namespace vanillalever::base {

// Error category reported to callers.
enum class ErrorCode {
  kInvalidRequest,   // malformed or contradictory input
  kUnauthenticated,  // missing or invalid token
  kForbidden,        // the organisation does not own the object
  kNotFound,         // no such program, turn, pool or version
  kTurnConflict,     // gap in turns, or repeated turn with another body
  kBudgetExhausted,  // worst-case cost exceeds the remaining budget
  kLimitReached,     // declared limit on turns, time or spend reached
  kProgramEnded,     // the program has ended or was cancelled
  kTooLarge,         // body or header exceeds its limit
  kTimeout,          // deadline exceeded
  kOverloaded,       // rejected by admission control
  kUnavailable,      // a required component is unreachable
  kQuarantined,      // the request has crashed backend servers
  kNotOwner,         // this process does not own the program's shard
  kOutcomeUnknown,   // a non-idempotent call may have been executed
  kConflict,         // optimistic concurrency check failed
  kBackendFailed,    // the backend server returned an error
  kInternal,         // violated invariant
};

inline constexpr NameTable<ErrorCode, 18> kErrorCodeNames({
    "invalid_request",
    "unauthenticated",
    "forbidden",
    "not_found",
    "turn_conflict",
    "budget_exhausted",
    "limit_reached",
    "program_ended",
    "too_large",
    "timeout",
    "overloaded",
    "unavailable",
    "quarantined",
    "not_owner",
    "outcome_unknown",
    "conflict",
    "backend_failed",
    "internal",
});

// Processing step of a call in which an error occurred.
enum class Step {
  kParse,
  kAuthenticate,
  kAdmit,
  kReserve,
  kIntent,
  kDispatch,
  kRun,
  kAnswer,
  kCommit,
  kAcknowledge,
  kRelease,
  kForward,
  kConfigure,
  kStore,
  kConnect,
};

inline constexpr NameTable<Step, 15> kStepNames({
    "parse",
    "authenticate",
    "admit",
    "reserve",
    "intent",
    "dispatch",
    "run",
    "answer",
    "commit",
    "acknowledge",
    "release",
    "forward",
    "configure",
    "store",
    "connect",
});

// Whether a backend server executed the call.
enum class ExecutionStatus { kNotRun, kRan, kUnknown };

inline constexpr NameTable<ExecutionStatus, 3> kExecutionStatusNames(
    {"not_run", "ran", "unknown"});

// Description of an error. Also sent between processes.
struct ErrorInfo {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Step step = Step::kParse;
  // Address or name of the peer that reported the error; empty for an error of
  // this process.
  std::string peer;
  ExecutionStatus ran = ExecutionStatus::kNotRun;
  // Delay before a retry; zero if the call must not be retried.
  std::chrono::milliseconds retry_after{0};
};

// Exception that carries an ErrorInfo.
class Error : public std::runtime_error {
 public:
  explicit Error(ErrorInfo info);

  const ErrorInfo& info() const { return info_; }

 private:
  ErrorInfo info_;
};

// Creates an Error for a call that was not executed (kNotRun).
Error NotRunError(ErrorCode code,
                  Step step,
                  std::string message,
                  std::string peer = "");

// Formats an error as one line, "code at step (peer): message", for logs.
std::string Describe(const ErrorInfo& info);

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_ERROR_H_
