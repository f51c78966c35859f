#include <catch2/catch.hpp>

#include <cstddef>
#include <vector>

#include "vanillalever/balance/level_choice.h"
#include "vanillalever/base/random.h"

namespace vanillalever::balance {
namespace {

using base::milliseconds;

// Share of 4,000 choices that went to each candidate.
std::vector<double> Shares(const std::vector<Candidate>& candidates,
                           double unseen) {
  constexpr int kChoices = 4000;
  base::Random random(1);
  std::vector<double> shares(candidates.size());
  for (int i = 0; i < kChoices; ++i)
    shares[ChooseByLevel(candidates, unseen, 0.5, random).index] +=
        1.0 / kChoices;
  return shares;
}

Candidate AtCost(double base_ms) {
  return {
      .base_ms = base_ms, .free_places = 2, .step_ms = 5, .full_step_ms = 20};
}

// Guards against all gateways choosing the server that looked best to them.
TEST_CASE("requests unseen so far are expected to level the servers") {
  std::vector<Candidate> candidates = {AtCost(100), AtCost(110), AtCost(300)};
  CHECK(Shares(candidates, 0)[0] > 0.999);
  std::vector<double> few = Shares(candidates, 1);
  CHECK(few[0] > 0.999);
  // Four requests bring the first server to 120 and the second to 130 or so.
  std::vector<double> some = Shares(candidates, 4);
  CHECK(some[0] > some[1]);
  CHECK(some[1] > 0.2);
  CHECK(some[2] == 0);
  std::vector<double> many = Shares(candidates, 10000);
  for (double share : many)
    CHECK(share == Approx(1.0 / 3).margin(0.03));
}

// Guards against evenness that costs recomputed prompts.
TEST_CASE("a request keeps its own preference until the level exceeds it") {
  std::vector<Candidate> candidates = {AtCost(100), AtCost(100), AtCost(100)};
  candidates[1].own_ms = -40;
  CHECK(Shares(candidates, 6)[1] > 0.999);
  candidates[1].base_ms = 145;
  CHECK(Shares(candidates, 0)[1] == 0);
}

TEST_CASE("equal servers get equal shares") {
  std::vector<Candidate> candidates(4, AtCost(50));
  for (double share : Shares(candidates, 0))
    CHECK(share == Approx(0.25).margin(0.03));
}

TEST_CASE("known requests end as news gets older") {
  CHECK(OpenAfter(4, 6, milliseconds(0), 150) == Approx(4));
  CHECK(OpenAfter(4, 6, milliseconds(150), 150) ==
        Approx(4 / 2.718).epsilon(0.01));
  // Twelve wait behind six that run; two of them start every 50 ms.
  CHECK(OpenAfter(18, 6, milliseconds(50), 150) == Approx(16));
  CHECK(OpenAfter(18, 6, milliseconds(300), 150) == Approx(6));
  CHECK(OpenAfter(18, 6, milliseconds(5000), 150) < 0.01);
}

}  // namespace
}  // namespace vanillalever::balance
