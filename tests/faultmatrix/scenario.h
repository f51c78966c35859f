#ifndef VANILLALEVER_TESTS_FAULTMATRIX_SCENARIO_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_SCENARIO_H_

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "vanillalever/base/name_table.h"

namespace vanillalever::faultmatrix {

// Promises of section 1 of the design page, in order.
inline constexpr std::size_t kPromiseCount = 10;

// Faults: the columns of the matrix.
enum class Fault {
  kKillEntry,
  kKillOwner,
  kKillSidecar,
  kKillEngine,
  kKillService,
  kPauseOwner,
  kPauseSidecar,
  kCutSidecar,
  kHalfOpenSidecar,
  kCutEntries,
  kCutCaller,
  kAnswerDelayed,
  kAnswerDoubled,
  kAnswerCrossed,
  kPlatformDown,
  kPlatformSlow,
  kPlatformLostAnswer,
  kListStale,
  kListGap,
  kCacheEventsGap,
  kReportsLost,
  kOperatorsRace,
  kHungTool,
  kCrashRequest,
  kStopEntry,
  kStopSidecar,
};

inline constexpr std::size_t kFaultCount = 26;

inline constexpr base::NameTable<Fault, kFaultCount> kFaultNames({
    "kill_entry",        "kill_owner",     "kill_sidecar",  "kill_engine",
    "kill_service",      "pause_owner",    "pause_sidecar", "cut_sidecar",
    "half_open_sidecar", "cut_entries",    "cut_caller",    "answer_delayed",
    "answer_doubled",    "answer_crossed", "platform_down", "platform_slow",
    "platform_lost",     "list_stale",     "list_gap",      "cache_events",
    "reports_lost",      "operators_race", "hung_tool",     "crash_request",
    "stop_entry",        "stop_sidecar",
});

// Steps of a call's path at which a fault strikes.
enum class PathStep {
  kAdmit,
  kReserve,
  kIntent,
  kDispatch,
  kRun,
  kAnswer,
  kCommit,
  kAcknowledge,
  kRelease,
};

inline constexpr std::size_t kPathStepCount = 9;

inline constexpr base::NameTable<PathStep, kPathStepCount> kPathStepNames({
    "admit",
    "reserve",
    "intent",
    "dispatch",
    "run",
    "answer",
    "commit",
    "acknowledge",
    "release",
});

// Rules that can be switched off, to show that the matrix notices.
enum class Rule {
  kFencing,           // conditional commits, own lease and fencing tokens
  kIntents,           // durable intent before a non-repeatable dispatch
  kSettle,            // a new owner settles open intents before it reruns them
  kTokenOnce,         // the sidecar runs a work token once
  kTokenReadback,     // a lost commit response is resolved by reading back
  kTurnOrder,         // the next turn waits for the end of the one before
  kBudgetReserve,     // the worst case is reserved before dispatch
  kReleaseRetry,      // releases are repeated, and held cache is leased
  kDrain,             // a planned stop refuses new work and finishes the rest
  kVersionCheck,      // a lower configuration version is refused
  kAnswerMatch,       // an answer must match an open attempt
  kFinalAfterCommit,  // the final answer follows the commit
  kQuarantine,        // crash-causing requests run alone, then are refused
};

inline constexpr std::size_t kRuleCount = 13;

inline constexpr base::NameTable<Rule, kRuleCount> kRuleNames({
    "fencing",
    "intents",
    "settle",
    "token_once",
    "token_readback",
    "turn_order",
    "budget_reserve",
    "release_retry",
    "drain",
    "version_check",
    "answer_match",
    "final_after_commit",
    "quarantine",
});

// One fault of a schedule and when it strikes.
struct Strike {
  Fault fault = Fault::kKillEntry;
  PathStep step = PathStep::kAdmit;
  // Strikes when a call reaches the step for this time, from 1.
  std::uint32_t occurrence = 1;
};

// One schedule.
struct Scenario {
  std::uint64_t seed = 1;
  std::vector<Strike> strikes;
  std::set<Rule> without;
};

// A broken promise, found from outside.
struct Violation {
  // Index of the promise from 0; kPromiseCount for a program that never ended.
  std::size_t promise = 0;
  std::string text;
};

// Result of one schedule.
struct Outcome {
  std::vector<Violation> violations;
  // Per promise, how often a check of it had something to judge after the
  // first fault struck.
  std::array<std::uint64_t, kPromiseCount> checks{};
  // Faults that struck, in order of the scenario.
  std::vector<bool> struck;
  std::uint64_t steps = 0;
  // Calls that were quarantined though they crash no server.
  std::uint64_t harmless_refused = 0;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_SCENARIO_H_
