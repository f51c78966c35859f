#ifndef VANILLALEVER_PROGRAM_CALL_H_
#define VANILLALEVER_PROGRAM_CALL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "vanillalever/base/name_table.h"

namespace vanillalever::program {

// How a turn ended.
enum class TurnOutcome {
  kDone,     // the backend server answered
  kFailed,   // the backend server answered with an error, or a limit ended it
  kUnknown,  // a non-repeatable call may or may not have run; never run again
};

inline constexpr base::NameTable<TurnOutcome, 3> kTurnOutcomeNames({
    "done",
    "failed",
    "unknown",
});

// Longest answer body kept in a turn row, in bytes; longer bodies are stored as
// objects.
inline constexpr std::size_t kMaxInlineBodyBytes = std::size_t{16} * 1024;

// One call as the owner admits it.
struct CallRequest {
  // Number of the turn, from 1.
  std::uint32_t turn = 0;
  // Hash of pool, operation and body; see guard::RequestFingerprint.
  std::string fingerprint;
  // Name of the backend server pool.
  std::string pool;
  // Operation within the pool, for example "chat" or "pay_grower".
  std::string operation;
  // Whether the operation may run more than once.
  bool repeatable = true;
  // Most that one attempt can cost, in tokens.
  std::int64_t worst_case_cost = 0;
};

// Result of a call.
struct Answer {
  // How the call ended.
  TurnOutcome outcome = TurnOutcome::kDone;
  // Answer bytes. Not written to the row if there is an object, so that it is
  // empty after recovery.
  std::string body;
  // Name of the object that holds the body; required above kMaxInlineBodyBytes.
  std::string object;
  // Tokens of the prompt.
  std::int64_t input_tokens = 0;
  // Tokens that were generated.
  std::int64_t output_tokens = 0;
  // Cost charged to the budget, in tokens.
  std::int64_t cost = 0;

  bool operator==(const Answer&) const = default;
};

// One ended turn of a program's history.
struct TurnRecord {
  // Number of the turn, from 1.
  std::uint32_t turn = 0;
  // Fingerprint of the request that was admitted.
  std::string fingerprint;
  // Pool and operation of the request.
  std::string pool;
  std::string operation;
  // What the caller received.
  Answer answer;

  bool operator==(const TurnRecord&) const = default;
};

// What the owner does with a call.
enum class AdmitAction {
  kRun,          // a new turn was opened: start an attempt
  kJoin,         // the turn is open, or not yet durable: wait for its end
  kAnswer,       // the turn has ended and is durable: answer from `record`
  kReadHistory,  // ended, but no longer in memory: read the turn's row, then
                 // CheckRepeat()
};

inline constexpr base::NameTable<AdmitAction, 4> kAdmitActionNames({
    "run",
    "join",
    "answer",
    "read_history",
});

// Decision about an admitted call; refusals are thrown as base::Error.
struct Admission {
  AdmitAction action = AdmitAction::kRun;
  // Set for kAnswer.
  std::optional<TurnRecord> record;
};

// Throws base::Error (kTurnConflict at kAdmit) unless the repeated call is the
// one that `record` answered.
void CheckRepeat(const CallRequest& call, const TurnRecord& record);

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_CALL_H_
