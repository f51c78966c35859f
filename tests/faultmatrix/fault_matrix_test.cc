#include <set>
#include <utility>

#include <catch2/catch.hpp>

#include "matrix.h"
#include "world.h"

namespace vanillalever::faultmatrix {
namespace {

// Schedules to try before a rule counts as one that the matrix cannot see.
constexpr std::uint64_t kMaxSchedules = 2000;

// A rule and the promise that is broken without it, counted from 1; one more
// than the last stands for the checks that belong to no promise.
struct RuleCase {
  Rule rule;
  std::size_t promise;
};

// Number of schedules until the promise is broken; kMaxSchedules for never.
std::uint64_t SchedulesUntilBroken(const RuleCase& rule_case) {
  MatrixSettings settings;
  settings.without = {rule_case.rule};
  Matrix matrix(settings);
  for (std::uint64_t number = 0; number < kMaxSchedules; ++number) {
    Outcome outcome = World(matrix.ScenarioAt(number)).Run();
    for (const Violation& violation : outcome.violations) {
      if (violation.promise + 1 == rule_case.promise)
        return number;
    }
  }
  return kMaxSchedules;
}

// Guards against a matrix that passes because it cannot fail: without a rule
// it reports the promise which that rule protects.
TEST_CASE("each protecting rule is needed") {
  RuleCase rule_case = GENERATE(
      RuleCase{Rule::kFencing, 7}, RuleCase{Rule::kIntents, 7},
      RuleCase{Rule::kSettle, 7}, RuleCase{Rule::kTokenOnce, 7},
      RuleCase{Rule::kTokenReadback, 6}, RuleCase{Rule::kTurnOrder, 1},
      RuleCase{Rule::kBudgetReserve, 3}, RuleCase{Rule::kReleaseRetry, 4},
      RuleCase{Rule::kDrain, 8}, RuleCase{Rule::kDrain, 9},
      RuleCase{Rule::kVersionCheck, 10}, RuleCase{Rule::kAnswerMatch, 5},
      RuleCase{Rule::kFinalAfterCommit, 2},
      RuleCase{Rule::kQuarantine, kPromiseCount + 1});
  INFO(kRuleNames.name(rule_case.rule) << " protects P" << rule_case.promise);
  std::uint64_t schedules = SchedulesUntilBroken(rule_case);
  CHECK(schedules < kMaxSchedules);
}

// Guards against a failure that cannot be run again from its seed.
TEST_CASE("a seed fixes the whole schedule") {
  Matrix matrix{MatrixSettings()};
  for (std::uint64_t number : {7, 250, 400}) {
    Outcome first = World(matrix.ScenarioAt(number)).Run();
    Outcome second = World(matrix.ScenarioAt(number)).Run();
    CHECK(first.steps == second.steps);
    CHECK(first.checks == second.checks);
    CHECK(first.struck == second.struck);
  }
}

// Guards against a column or a step that no schedule contains.
TEST_CASE("schedules contain every fault at every step, and pairs") {
  Matrix matrix{MatrixSettings()};
  std::set<std::pair<Fault, PathStep>> seen;
  for (std::uint64_t n = 0; n < kFaultCount * kPathStepCount; ++n) {
    Strike strike = matrix.ScenarioAt(n).strikes.at(0);
    seen.emplace(strike.fault, strike.step);
  }
  CHECK(seen.size() == kFaultCount * kPathStepCount);
  CHECK(matrix.ScenarioAt(kFaultCount * kPathStepCount).strikes.size() == 2);
}

}  // namespace
}  // namespace vanillalever::faultmatrix
