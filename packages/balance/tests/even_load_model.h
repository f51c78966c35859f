#ifndef VANILLALEVER_BALANCE_TESTS_EVEN_LOAD_MODEL_H_
#define VANILLALEVER_BALANCE_TESTS_EVEN_LOAD_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "vanillalever/base/name_table.h"

namespace vanillalever::balance {

// How a gateway of the model chooses a server.
enum class ModelPolicy {
  // Any server.
  kRandom,
  // The fewest requests as known, with a random choice among equals.
  kLeastKnown,
  // The better of two random servers, as known.
  kTwoChoices,
  // A server known to be idle, else any.
  kJoinIdle,
  // In proportion to 1 / (1 + known requests).
  kWeighted,
  // kLeastKnown among a fixed fifth of the servers for each gateway.
  kSubset,
  // ChooseByLevel().
  kLevel,
  // The fewest requests in truth.
  kPerfect,
};

inline constexpr std::size_t kModelPolicies = 8;

inline constexpr base::NameTable<ModelPolicy, kModelPolicies> kModelPolicyNames(
    {
        "random",
        "least_known",
        "two_choices",
        "join_idle",
        "weighted",
        "subset",
        "level",
        "perfect",
    });

struct ModelSettings {
  ModelPolicy policy = ModelPolicy::kLevel;
  int gateways = 30;
  int servers = 32;
  int slots = 6;
  // Mean time of a request at a server, exponentially distributed.
  double mean_ms = 150;
  // Work asked for as a share of what the servers can do.
  double load = 0.9;
  // A third into the play more is asked for by this factor, for this long.
  double burst_factor = 1;
  double burst_ms = 0;
  // A gateway hears of the sends and ends of others after this time.
  double news_ms = 0;
  double seconds = 60;
  std::uint64_t seed = 1;
};

struct ModelResult {
  // Time from the choice to the start at the server.
  double mean_wait_ms = 0;
  double p99_wait_ms = 0;
  // Mean share of servers over their slots at arrivals during which another
  // server has half of its slots free.
  double uneven_share = 0;
};

// Plays requests that arrive at random at gateways, which choose servers; no
// network. A request waits at its server in order of arrival.
ModelResult PlayEvenLoad(const ModelSettings& settings);

}  // namespace vanillalever::balance

#endif  // VANILLALEVER_BALANCE_TESTS_EVEN_LOAD_MODEL_H_
