#ifndef VANILLALEVER_PROGRAM_PROGRAM_HEAD_H_
#define VANILLALEVER_PROGRAM_PROGRAM_HEAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/program/attempt.h"
#include "vanillalever/program/budget_ledger.h"
#include "vanillalever/program/call.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::program {

// State of a program; every state but kRunning is final.
enum class ProgramState {
  kRunning,
  kEnded,         // ended by its caller
  kCancelled,     // cancelled by its caller, or with its parent
  kLimitReached,  // ended by LoopGuard
};

inline constexpr base::NameTable<ProgramState, 4> kProgramStateNames({
    "running",
    "ended",
    "cancelled",
    "limit_reached",
});

// Properties of a program that never change.
struct ProgramSpec {
  ProgramId id;
  // Random id of this instance of the program; distinguishes a late release of
  // an earlier program with the same id from a release of this one.
  std::string incarnation;
  // Name of the organisation.
  std::string organisation;
  // Name of the program class.
  std::string program_class;
  // Program of which this is a sub-agent; empty for none.
  ProgramId parent;
  // The caller's key, unique within the organisation.
  std::string key;
  // Budget in tokens; for a sub-agent its share of the parent's budget.
  std::int64_t budget = 0;

  bool operator==(const ProgramSpec&) const = default;
};

// A server that holds KV cache of the program.
struct CacheHolder {
  // Address of the sidecar.
  std::string server;
  // The sidecar's incarnation; a later incarnation holds no cache.
  std::string sidecar_incarnation;

  bool operator==(const CacheHolder&) const = default;
  bool operator<(const CacheHolder& other) const {
    return std::tie(server, sidecar_incarnation) <
           std::tie(other.server, other.sidecar_incarnation);
  }
};

// Durable record of a non-repeatable attempt, written before it is dispatched.
struct CallIntent {
  // Number of the attempt within the turn, from 1.
  std::uint32_t attempt = 0;
  AttemptTarget target;
  // Budget reserved for it, in tokens.
  std::int64_t reservation = 0;

  bool operator==(const CallIntent&) const = default;
};

// The open turn of a non-repeatable call. An open repeatable turn is not
// stored, because its caller can repeat it after a crash.
struct OpenTurn {
  CallRequest call;
  // The attempt that may have been dispatched.
  CallIntent intent;
};

// Content of a head row.
struct ProgramHead {
  ProgramSpec spec;
  ProgramState state = ProgramState::kRunning;
  // Number of the last ended turn; zero before the first.
  std::uint32_t last_turn = 0;
  // Time since creation, excluding periods without an owner.
  base::milliseconds elapsed{0};
  BudgetSnapshot budget;
  // Open turn of a non-repeatable call.
  std::optional<OpenTurn> open;
  // Servers to which a release is sent when the program has ended.
  std::set<CacheHolder> holders;
  // Budget shares of children that have not ended, in tokens.
  std::map<ProgramId, std::int64_t> children;
  // Whether the unused budget was returned to the parent.
  bool share_returned = false;
};

// Content of one commit of one program.
struct ProgramCommit {
  ProgramHead head;
  // Turns that ended since the last applied commit.
  std::vector<TurnRecord> turns;
  // Version that the stored head row must have; zero if it must not exist.
  std::uint64_t expected_version = 0;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_HEAD_H_
