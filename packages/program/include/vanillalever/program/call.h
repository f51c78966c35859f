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
  kDone,     // answered by the backend server
  kFailed,   // error from the backend server, or ended at a limit
  kUnknown,  // a non-repeatable call may have run; it is never run again
};

inline constexpr base::NameTable<TurnOutcome, 3> kTurnOutcomeNames({
    "done",
    "failed",
    "unknown",
});

// Maximum size of an answer body in a turn row; larger bodies are stored as
// objects.
inline constexpr std::size_t kMaxInlineBodyBytes = std::size_t{16} * 1024;

// One call of a program, as the owner admits it.
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
  // Maximum cost of one attempt, in tokens.
  std::int64_t worst_case_cost = 0;
};

// Result of a call.
struct Answer {
  TurnOutcome outcome = TurnOutcome::kDone;
  // Body bytes. Not written to the row if there is an object, hence empty after
  // recovery.
  std::string body;
  // Name of the object that holds the body; required above kMaxInlineBodyBytes.
  std::string object;
  // Prompt tokens.
  std::int64_t input_tokens = 0;
  // Generated tokens.
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
  std::string pool;
  std::string operation;
  // Answer that the caller receives.
  Answer answer;

  bool operator==(const TurnRecord&) const = default;
};

// How the owner handles an admitted call.
enum class AdmitAction {
  kRun,          // opens a new turn: start an attempt
  kJoin,         // the turn is open or not durable yet: wait for its answer
  kAnswer,       // the turn is durable: answer from `record`
  kReadHistory,  // the turn is durable but not in memory: read its row, then
                 // call CheckRepeat()
};

inline constexpr base::NameTable<AdmitAction, 4> kAdmitActionNames({
    "run",
    "join",
    "answer",
    "read_history",
});

// Result of an admission; refusals are thrown as base::Error.
struct Admission {
  AdmitAction action = AdmitAction::kRun;
  // Set for kAnswer.
  std::optional<TurnRecord> record;
};

// Throws base::Error (kTurnConflict at kAdmit) unless `call` has the turn and
// fingerprint of `record`.
void CheckRepeat(const CallRequest& call, const TurnRecord& record);

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_CALL_H_
