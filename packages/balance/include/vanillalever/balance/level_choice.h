#ifndef VANILLALEVER_BALANCE_LEVEL_CHOICE_H_
#define VANILLALEVER_BALANCE_LEVEL_CHOICE_H_

#include <cstddef>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::balance {

// A server that could take a request.
struct Candidate {
  // Cost in ms of a typical request there, at the load known for certain.
  double base_ms = 0;
  // Difference in ms for this request, such as a cached prompt or distance.
  double own_ms = 0;
  // Further requests that the server can run at once.
  double free_places = 0;
  // Increase of base_ms with each further request, while places are free and
  // after that. Positive.
  double step_ms = 1;
  double full_step_ms = 1;
};

// Outcome of ChooseByLevel().
struct LevelResult {
  // Index of the chosen candidate.
  std::size_t index = 0;
  // base_ms to which the requests in flight are expected to raise the
  // least loaded servers.
  double level_ms = 0;
};

// Requests expected to be left of `open` at a server with `slots` places after
// `age`, if each runs for `mean_ms` on average and those beyond the places
// wait. Without further arrivals.
double OpenAfter(double open, int slots, base::Duration age, double mean_ms);

// Chooses a server for a request while `unseen` other requests, of which no
// news has arrived yet, are on their way to the same servers. They are assumed
// to go to the servers with the lowest cost and to level them; all candidates
// below that level then cost the same for a typical request, and are chosen in
// proportion to the requests that they take to reach it. Without unseen
// requests the cheapest server is chosen, with many any of them.
// `candidates` must not be empty. Costs closer than `tie_ms` are equal.
LevelResult ChooseByLevel(const std::vector<Candidate>& candidates,
                          double unseen,
                          double tie_ms,
                          base::Random& random);

}  // namespace vanillalever::balance

#endif  // VANILLALEVER_BALANCE_LEVEL_CHOICE_H_
