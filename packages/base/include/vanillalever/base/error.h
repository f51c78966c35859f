#ifndef VANILLALEVER_BASE_ERROR_H_
#define VANILLALEVER_BASE_ERROR_H_

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

#include "vanillalever/base/name_table.h"

namespace vanillalever::base {

// Kind of failure, as told to callers.
enum class ErrorCode {
  kInvalidRequest,   // malformed or contradictory input
  kUnauthenticated,  // missing or wrong token
  kForbidden,        // the organisation does not own the object
  kNotFound,         // no such program, turn, pool or version
  kTurnConflict,     // turn gap, or a repeated turn with another body
  kBudgetExhausted,  // the worst case of the call exceeds what is left
  kLimitReached,     // declared limit on turns, time or spend
  kProgramEnded,     // the program has ended or was cancelled
  kTooLarge,         // body or header over its limit
  kTimeout,          // deadline passed
  kOverloaded,       // refused early by admission
  kUnavailable,      // a part that the call needs is not reachable
  kQuarantined,      // the request crashed backend servers before
  kNotOwner,         // this process does not own the program's shard
  kOutcomeUnknown,   // a non-idempotent call may or may not have run
  kConflict,         // optimistic concurrency check failed
  kBackendFailed,    // the backend server answered with an error
  kInternal,         // broken invariant
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

// Step of a call's path at which an error arose.
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

// Whether the call's work was done by a backend server.
enum class ExecutionStatus { kNotRun, kRan, kUnknown };

inline constexpr NameTable<ExecutionStatus, 3> kExecutionStatusNames(
    {"not_run", "ran", "unknown"});

// Plain description of an error; also the form in which errors cross processes.
struct ErrorInfo {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Step step = Step::kParse;
  // Address or name of the peer at which the error arose; empty for this
  // process.
  std::string peer;
  ExecutionStatus ran = ExecutionStatus::kNotRun;
  // When to try again; zero means "do not retry".
  std::chrono::milliseconds retry_after{0};
};

// Exception carrying an ErrorInfo.
class Error : public std::runtime_error {
 public:
  explicit Error(ErrorInfo info);

  const ErrorInfo& info() const { return info_; }

 private:
  ErrorInfo info_;
};

// Builds an Error whose call did not run.
Error NotRunError(ErrorCode code,
                  Step step,
                  std::string message,
                  std::string peer = "");

// One line "code at step (peer): message" for logs.
std::string Describe(const ErrorInfo& info);

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_ERROR_H_
