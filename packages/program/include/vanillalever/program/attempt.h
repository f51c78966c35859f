#ifndef VANILLALEVER_PROGRAM_ATTEMPT_H_
#define VANILLALEVER_PROGRAM_ATTEMPT_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/name_table.h"

namespace vanillalever::program {

// Identifies one attempt in messages; an answer is accepted only if all three
// fields match.
struct AttemptKey {
  // Number of the turn, from 1.
  std::uint32_t turn = 0;
  // Number of the attempt within the turn, from 1.
  std::uint32_t attempt = 0;
  // Random work token; also sent to services as the idempotency key.
  std::string work_token;

  bool operator==(const AttemptKey&) const = default;
};

// Destination of an attempt.
struct AttemptTarget {
  // Address of the sidecar of the backend server.
  std::string server;
  // The sidecar's incarnation when the attempt was started.
  std::string sidecar_incarnation;
  // Fencing token of the shard under which the attempt is sent.
  std::uint64_t fence = 0;
  // Random work token, unique to this attempt.
  std::string work_token;
  // Whether the server keeps cache for the program; false for plain services.
  bool holds_cache = true;

  bool operator==(const AttemptTarget&) const = default;
};

// An attempt whose result is not known yet.
struct Attempt {
  // Number of the turn and of the attempt, from 1.
  std::uint32_t turn = 0;
  std::uint32_t attempt = 0;
  AttemptTarget target;
  // Budget reserved for it, in tokens.
  std::int64_t reservation = 0;
  // Whether the operation may run more than once.
  bool repeatable = true;
  // Whether it may have reached the sidecar; true after recovery, because the
  // previous owner may have sent it.
  bool dispatched = false;
  // The turn was closed without this attempt; only its cost is still to settle.
  bool superseded = false;
  // Revision of the program at which the attempt was recorded.
  std::uint64_t revision = 0;

  AttemptKey key() const { return {turn, attempt, target.work_token}; }
};

// State of a dispatched attempt, as reported by its sidecar or inferred from
// the instance list.
enum class SettleOutcome {
  kDone,             // completed; the answer is attached
  kRunning,          // queued or running: query again later
  kRevoked,          // never received; the sidecar will refuse to run it
  kIncarnationGone,  // the sidecar restarted or was lost; result unknown
};

inline constexpr base::NameTable<SettleOutcome, 4> kSettleOutcomeNames({
    "done",
    "running",
    "revoked",
    "incarnation_gone",
});

// Effect of an answer on its program.
enum class AnswerMatch {
  kEndedTurn,    // ended the open turn
  kSettledCost,  // the turn was closed before; only the cost was settled
  kDropped,      // matched no open attempt
};

inline constexpr base::NameTable<AnswerMatch, 3> kAnswerMatchNames({
    "ended_turn",
    "settled_cost",
    "dropped",
});

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_ATTEMPT_H_
