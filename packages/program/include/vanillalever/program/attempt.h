#ifndef VANILLALEVER_PROGRAM_ATTEMPT_H_
#define VANILLALEVER_PROGRAM_ATTEMPT_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/name_table.h"

namespace vanillalever::program {

// Names one attempt in messages; an answer must carry all three.
struct AttemptKey {
  // Number of the turn, from 1.
  std::uint32_t turn = 0;
  // Number of the attempt within the turn, from 1.
  std::uint32_t attempt = 0;
  // Random token of the work; also the idempotency key of the service.
  std::string work_token;

  bool operator==(const AttemptKey&) const = default;
};

// Where an attempt goes.
struct AttemptTarget {
  // Address of the sidecar of the backend server.
  std::string server;
  // The sidecar's present incarnation.
  std::string sidecar_incarnation;
  // Fencing token of the shard under which the attempt is sent.
  std::uint64_t fence = 0;
  // Random token of the work, never used before.
  std::string work_token;
  // Whether the server keeps cache for the program; false for plain services.
  bool holds_cache = true;

  bool operator==(const AttemptTarget&) const = default;
};

// One attempt that has not been settled.
struct Attempt {
  // Number of the turn and of the attempt, from 1.
  std::uint32_t turn = 0;
  std::uint32_t attempt = 0;
  // Where it goes.
  AttemptTarget target;
  // Amount reserved for it, in tokens.
  std::int64_t reservation = 0;
  // Whether the operation may run more than once.
  bool repeatable = true;
  // Whether it may have reached the sidecar; true after recovery, because the
  // previous owner may have sent it.
  bool dispatched = false;
  // Another attempt answered the turn: only the cost of this one is awaited.
  bool superseded = false;
  // Revision of the program at which the attempt was recorded.
  std::uint64_t revision = 0;

  AttemptKey key() const { return {turn, attempt, target.work_token}; }
};

// What a sidecar, or the instance list, says about an attempt that was sent.
enum class SettleOutcome {
  kDone,             // it has ended; the answer comes with it
  kRunning,          // it is queued or running: ask again later
  kRevoked,          // it was never received, and never will run
  kIncarnationGone,  // the sidecar's incarnation is gone with what it knew
};

inline constexpr base::NameTable<SettleOutcome, 4> kSettleOutcomeNames({
    "done",
    "running",
    "revoked",
    "incarnation_gone",
});

// What became of an answer.
enum class AnswerMatch {
  kEndedTurn,    // it ended the open turn
  kSettledCost,  // its turn had been answered by another attempt; cost settled
  kDropped,      // it matches no open attempt
};

inline constexpr base::NameTable<AnswerMatch, 3> kAnswerMatchNames({
    "ended_turn",
    "settled_cost",
    "dropped",
});

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_ATTEMPT_H_
