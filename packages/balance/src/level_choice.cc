#include "vanillalever/balance/level_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillalever::balance {
namespace {

constexpr int kBisections = 24;

// Requests that raise the candidate's cost to `level_ms`.
double RequestsToLevel(const Candidate& candidate, double level_ms) {
  double rise = level_ms - candidate.base_ms;
  if (rise <= 0)
    return 0;
  double free = std::max(0.0, candidate.free_places);
  double free_rise = free * candidate.step_ms;
  if (rise <= free_rise)
    return rise / candidate.step_ms;
  return free + (rise - free_rise) / candidate.full_step_ms;
}

double CostAfter(const Candidate& candidate, double requests) {
  double free = std::clamp(candidate.free_places, 0.0, requests);
  return candidate.base_ms + free * candidate.step_ms +
         (requests - free) * candidate.full_step_ms;
}

// Cost to which `unseen` requests raise the cheapest candidates.
double Level(const std::vector<Candidate>& candidates, double unseen) {
  double low = std::numeric_limits<double>::infinity();
  double high = low;
  for (const Candidate& candidate : candidates) {
    low = std::min(low, candidate.base_ms);
    high = std::min(high, CostAfter(candidate, unseen));
  }
  for (int i = 0; i < kBisections && unseen > 0; ++i) {
    double middle = (low + high) / 2;
    double requests = 0;
    for (const Candidate& candidate : candidates)
      requests += RequestsToLevel(candidate, middle);
    (requests < unseen ? low : high) = middle;
  }
  return unseen > 0 ? high : low;
}

}  // namespace

double OpenAfter(double open, int slots, base::Duration age, double mean_ms) {
  double mean = std::max(1.0, mean_ms);
  double left_ms = std::chrono::duration<double, std::milli>(age).count();
  if (double places = std::max(1, slots); open > places) {
    double queue_ms = (open - places) * mean / places;
    if (left_ms < queue_ms)
      return open - left_ms * places / mean;
    left_ms -= queue_ms;
    open = places;
  }
  return open * std::exp(-std::max(0.0, left_ms) / mean);
}

LevelResult ChooseByLevel(const std::vector<Candidate>& candidates,
                          double unseen,
                          double tie_ms,
                          base::Random& random) {
  LevelResult result;
  result.level_ms = Level(candidates, std::max(0.0, unseen));
  auto cost = [&result](const Candidate& candidate) {
    return candidate.own_ms + std::max(candidate.base_ms, result.level_ms);
  };
  double least = std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : candidates)
    least = std::min(least, cost(candidate));
  // Candidates at the level would otherwise never be drawn.
  constexpr double kLeastWeight = 1e-6;
  double total = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (cost(candidates[i]) > least + tie_ms)
      continue;
    double weight =
        kLeastWeight + RequestsToLevel(candidates[i], result.level_ms);
    total += weight;
    // Keeps each candidate with a probability in proportion to its weight.
    if (random.Uniform() * total < weight)
      result.index = i;
  }
  return result;
}

}  // namespace vanillalever::balance
