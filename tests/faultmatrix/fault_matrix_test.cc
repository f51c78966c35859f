#include <set>
#include <utility>

#include <catch2/catch.hpp>

#include "cluster.h"
#include "matrix.h"

namespace vanillalever::faultmatrix {
namespace {

// Schedules after which a disabled safeguard counts as undetected.
constexpr std::uint64_t kMaxSchedules = 2000;

// A safeguard and the guarantee that is violated without it, counted from 1;
// kGuaranteeCount + 1 stands for the checks that belong to no guarantee.
struct SafeguardCase {
  Safeguard safeguard;
  std::size_t guarantee;
};

// Number of schedules before the guarantee is violated; kMaxSchedules if it is
// not.
std::uint64_t SchedulesUntilBroken(const SafeguardCase& safeguard_case) {
  MatrixSettings settings;
  settings.disabled = {safeguard_case.safeguard};
  Matrix matrix(settings);
  for (std::uint64_t number = 0; number < kMaxSchedules; ++number) {
    Outcome outcome = Cluster(matrix.ScenarioAt(number)).Run();
    for (const Violation& violation : outcome.violations) {
      if (violation.guarantee + 1 == safeguard_case.guarantee)
        return number;
    }
  }
  return kMaxSchedules;
}

// Guards against a matrix that cannot fail: with a safeguard disabled it must
// report a violation of the guarantee which that safeguard protects.
TEST_CASE("disabling a safeguard violates its guarantee") {
  SafeguardCase safeguard_case = GENERATE(
      SafeguardCase{Safeguard::kFencing, 7},
      SafeguardCase{Safeguard::kIntents, 7},
      SafeguardCase{Safeguard::kSettleIntents, 7},
      SafeguardCase{Safeguard::kTokenDeduplication, 7},
      SafeguardCase{Safeguard::kCommitReadBack, 6},
      SafeguardCase{Safeguard::kTurnOrder, 1},
      SafeguardCase{Safeguard::kBudgetReservation, 3},
      SafeguardCase{Safeguard::kReleaseRetry, 4},
      SafeguardCase{Safeguard::kDrain, 8}, SafeguardCase{Safeguard::kDrain, 9},
      SafeguardCase{Safeguard::kVersionCheck, 10},
      SafeguardCase{Safeguard::kResponseMatching, 5},
      SafeguardCase{Safeguard::kAnswerAfterCommit, 2},
      SafeguardCase{Safeguard::kQuarantine, kGuaranteeCount + 1});
  INFO(kSafeguardNames.name(safeguard_case.safeguard)
       << " protects P" << safeguard_case.guarantee);
  std::uint64_t schedules = SchedulesUntilBroken(safeguard_case);
  CHECK(schedules < kMaxSchedules);
}

// Guards against failures that cannot be reproduced from their seed.
TEST_CASE("runs with the same seed are identical") {
  Matrix matrix{MatrixSettings()};
  for (std::uint64_t number : {7, 250, 400}) {
    Outcome first = Cluster(matrix.ScenarioAt(number)).Run();
    Outcome second = Cluster(matrix.ScenarioAt(number)).Run();
    CHECK(first.steps == second.steps);
    CHECK(first.checks == second.checks);
    CHECK(first.injected == second.injected);
  }
}

// Guards against a fault or a step that no schedule contains.
TEST_CASE("schedules cover every fault at every step, and pairs of faults") {
  Matrix matrix{MatrixSettings()};
  std::set<std::pair<Fault, PathStep>> seen;
  for (std::uint64_t n = 0; n < kFaultCount * kPathStepCount; ++n) {
    FaultInjection injection = matrix.ScenarioAt(n).injections.at(0);
    seen.emplace(injection.fault, injection.step);
  }
  CHECK(seen.size() == kFaultCount * kPathStepCount);
  CHECK(matrix.ScenarioAt(kFaultCount * kPathStepCount).injections.size() == 2);
}

}  // namespace
}  // namespace vanillalever::faultmatrix
