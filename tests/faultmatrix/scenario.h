#ifndef VANILLALEVER_TESTS_FAULTMATRIX_SCENARIO_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_SCENARIO_H_

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "vanillalever/base/name_table.h"

namespace vanillalever::faultmatrix {

// Guarantees of section 1 of the design page, in order.
inline constexpr std::size_t kGuaranteeCount = 10;

// Faults that a schedule can inject.
enum class Fault {
  kKillEntry,
  kKillOwner,
  kKillSidecar,
  kKillEngine,
  kKillService,
  kPauseOwner,
  kPauseSidecar,
  kPartitionSidecar,
  kHalfOpenSidecar,
  kPartitionEntries,
  kPartitionCaller,
  kResponseDelayed,
  kResponseDuplicated,
  kResponsesSwapped,
  kPlatformUnavailable,
  kPlatformSlow,
  kPlatformLostResponse,
  kInstanceListStale,
  kInstanceListIncomplete,
  kCacheEventsLost,
  kReportsLost,
  kConcurrentOperators,
  kHungService,
  kCrashingRequest,
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

// Steps of a call at which a fault can be injected.
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

// Safeguards that can be disabled, to show that the matrix detects their
// absence.
enum class Safeguard {
  kFencing,        // conditional commits, local lease and fencing tokens
  kIntents,        // durable intent before a non-repeatable dispatch
  kSettleIntents,  // a new owner settles open intents before it reruns them
  kTokenDeduplication,  // the sidecar runs a work token once
  kCommitReadBack,      // a lost commit response is resolved by reading back
  kTurnOrder,           // a turn starts after the end of the previous one
  kBudgetReservation,   // the worst case is reserved before dispatch
  kReleaseRetry,        // releases are retried, and held cache is leased
  kDrain,               // a planned stop refuses new work and finishes the rest
  kVersionCheck,        // a lower configuration version is refused
  kResponseMatching,    // a response must match an open attempt
  kAnswerAfterCommit,   // the final answer is sent after the commit
  kQuarantine,          // crash-causing requests run alone, then are refused
};

inline constexpr std::size_t kSafeguardCount = 13;

inline constexpr base::NameTable<Safeguard, kSafeguardCount> kSafeguardNames({
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

// One fault of a schedule and when it is injected.
struct FaultInjection {
  Fault fault = Fault::kKillEntry;
  PathStep step = PathStep::kAdmit;
  // Number of the visit to the step at which the fault is injected, from 1.
  std::uint32_t occurrence = 1;
};

// One schedule of the simulation.
struct Scenario {
  std::uint64_t seed = 1;
  std::vector<FaultInjection> injections;
  std::set<Safeguard> disabled;
};

// A violated guarantee, as callers and backends observe it.
struct Violation {
  // Index of the guarantee from 0; kGuaranteeCount for checks that belong to
  // none, such as a program that never ended.
  std::size_t guarantee = 0;
  std::string text;
};

// Result of one schedule.
struct Outcome {
  std::vector<Violation> violations;
  // Number of checks per guarantee after the first fault was injected.
  std::array<std::uint64_t, kGuaranteeCount> checks{};
  // Whether each fault was injected, in order of the scenario.
  std::vector<bool> injected;
  std::uint64_t steps = 0;
  // Quarantined calls that crash no server.
  std::uint64_t harmless_quarantined = 0;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_SCENARIO_H_
