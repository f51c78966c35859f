// Plays a burst of four times the usual programs against the admission
// decisions, without a network.

#include <algorithm>
#include <iterator>

#include <catch2/catch.hpp>

#include "load_model.h"

namespace vanillalever::admission {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};
constexpr int kLongPrograms = 0;
constexpr int kShortPrograms = 1;

// Half of what the servers complete, from long and short programs.
LoadScenario Burst() {
  LoadScenario scenario;
  scenario.kinds = {{11, 0, 7.5}, {3, 1, 25}};
  return scenario;
}

double InTimeShare(const LoadModel& model, int kind, double from, double to) {
  ProgramOutcomes outcomes = model.outcomes(kind, from, to);
  return outcomes.in_time / static_cast<double>(outcomes.asked);
}

double Recovered(const LoadScenario& scenario, std::uint64_t seed) {
  LoadModel model(scenario, seed);
  model.Run();
  double from = scenario.burst_end + 3;
  return std::min(InTimeShare(model, kLongPrograms, from, scenario.end),
                  InTimeShare(model, kShortPrograms, from, scenario.end));
}

// Mean over the burst, after the time in which one short program takes the
// servers from the usual load to all that they can do.
double UsefulShareInBurst(const LoadScenario& scenario) {
  double sum = 0;
  for (std::uint64_t seed : kSeeds) {
    LoadModel model(scenario, seed);
    model.Run();
    sum += model.useful_share(scenario.burst_start + 1, scenario.burst_end);
  }
  return sum / std::size(kSeeds);
}

// Guards against an overload that outlasts its cause: turns that time out are
// tried again and keep the servers from completing others.
TEST_CASE("an overload ends with its cause") {
  for (std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    CHECK(Recovered(Burst(), seed) >= 0.9);
  }
}

// Guards against servers that work for programs that end late or not at all.
TEST_CASE(
    "what ends in time in a burst is nine tenths of what servers can do") {
  CHECK(UsefulShareInBurst(Burst()) >= 0.9);
}

// Shows that the two tests above can fail: without admission they do.
TEST_CASE("without admission an overload outlasts its cause") {
  LoadScenario scenario = Burst();
  scenario.admission = false;
  double worst = 1;
  for (std::uint64_t seed : kSeeds)
    worst = std::min(worst, Recovered(scenario, seed));
  CHECK(worst < 0.9);
  CHECK(UsefulShareInBurst(scenario) < 0.9);
}

// Guards against more urgent or shorter programs taking all places.
TEST_CASE("no kind of program is starved in a burst") {
  for (std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    LoadScenario scenario = Burst();
    LoadModel model(scenario, seed);
    model.Run();
    double from = scenario.burst_start;
    double to = scenario.burst_end;
    auto long_ones = model.outcomes(kLongPrograms, from, to);
    auto short_ones = model.outcomes(kShortPrograms, from, to);
    double all = (long_ones.in_time + short_ones.in_time) /
                 static_cast<double>(long_ones.asked + short_ones.asked);
    CHECK(InTimeShare(model, kLongPrograms, from, to) >= all / 4);
    CHECK(InTimeShare(model, kShortPrograms, from, to) >= all / 4);
  }
}

}  // namespace
}  // namespace vanillalever::admission
