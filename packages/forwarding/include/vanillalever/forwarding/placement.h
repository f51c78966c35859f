#ifndef VANILLALEVER_FORWARDING_PLACEMENT_H_
#define VANILLALEVER_FORWARDING_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/prompt_index.h"
#include "vanillalever/forwarding/request_profile.h"
#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/forwarding/server_registry.h"

namespace vanillalever::forwarding {

// Time model of servers and network.
struct PlacementSettings {
  // Time of one decoding step and what each further running request adds, in
  // ms; from the engines' data sheet.
  double step_ms = 3.79;
  double step_ms_per_request = 0.0893;
  // Prompt tokens computed per ms; from the engines' data sheet.
  double prefill_tokens_per_ms = 56.6;
  // Share of the largest output that a turn generates on average.
  double output_share = 0.4;
  // Time of an average plain request, in ms.
  double plain_work_ms = 150;
  // Factor on the work of a plain request at the server that its object
  // prefers.
  double preferred_factor = 0.8;
  // What a failed request costs beyond an answered one, in ms: about the time
  // objective of the calls, which then come again or fail their program.
  double failure_cost_ms = 500;
  // Share of failures that is taken for chance.
  double tolerated_failure_share = 0.1;
  // Round trip within a data centre and to another one, in ms.
  double near_round_trip_ms = 0.4;
  double far_round_trip_ms = 2.5;
};

// What the placement of one request depends on.
struct PlacementRequest {
  const RequestProfile& profile;
  const PromptChain& chain;
  const Service& service;
  bool sticky = false;
  // Identities of servers that this request must not use again.
  const std::vector<std::string>& excluded;
};

// Outcome of a placement.
struct Placement {
  // Null if no server can take the request now.
  ServerSlotPtr slot;
  // Prompt tokens that the server has to compute.
  std::int64_t prefill_tokens = 0;
  // The fewest that any server would have to compute.
  std::int64_t least_prefill_tokens = 0;
  // Estimated time until the answer is complete, in ms.
  double estimate_ms = 0;
  // Open requests at the server when it was chosen.
  int open = 0;
  // Factor on the server's work when it was chosen.
  double slowness = 1;
  // Servers that were compared.
  int candidates = 0;
};

// Chooses the server at which a request costs the least time: its own until
// completion, and the delay that it causes to the requests running there.
// Answers loads in which prompts to be computed take much of the servers' time.
// Not thread-safe.
class Placer {
 public:
  Placer(PlacementSettings settings,
         std::string data_centre,
         std::uint64_t seed);

  Placement Place(const std::vector<ServerSlotPtr>& servers,
                  const PlacementRequest& request,
                  base::TimePoint now);

  // The prompt was sent to the server.
  void OnPromptSent(const ServerSlot& slot,
                    const Service& service,
                    const PromptChain& chain);
  void ForgetServer(const std::string& id);

 private:
  struct Estimate {
    double total_ms = 0;
    std::int64_t prefill_tokens = 0;
  };

  Estimate EstimateEngine(const ServerSlot& slot,
                          const PlacementRequest& request,
                          base::TimePoint now) const;
  Estimate EstimatePlain(const ServerSlot& slot,
                         const PlacementRequest& request,
                         bool preferred,
                         base::TimePoint now) const;
  double RoundTripMs(const ServerSlot& slot) const;
  // Expected cost of a failure there. Added like any other cost, so that
  // servers that fail are still used when the others are busier than that.
  double FailureCostMs(const ServerSlot& slot, base::TimePoint now) const;

  PlacementSettings settings_;
  std::string data_centre_;
  base::Random random_;
  // By server identity.
  std::map<std::string, PromptIndex, std::less<>> prompts_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PLACEMENT_H_
