#ifndef VANILLALEVER_FORWARDING_PLACEMENT_H_
#define VANILLALEVER_FORWARDING_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/balance/level_choice.h"
#include "vanillalever/balance/service_speed.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/prompt_index.h"
#include "vanillalever/forwarding/request_profile.h"
#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/forwarding/server_registry.h"

namespace vanillalever::forwarding {

// Parameters of the time model of servers and network.
struct PlacementSettings {
  // Duration of one decoding step, and the increment per running request. The
  // step, like the next three, holds until the service's speeds are learned.
  double step_ms = 3.79;
  double step_ms_per_request = 0.0893;
  // Prefill throughput, and the time to the first output without prefill.
  double prefill_tokens_per_ms = 56.6;
  double first_output_ms = 16;
  // Average output of a turn as a fraction of its maximum output.
  double output_share = 0.4;
  // Average service time of a request to a plain (non-engine) server.
  double plain_work_ms = 150;
  // Factor on the service time of a plain request at the server that its
  // affinity key prefers.
  double preferred_work_factor = 0.8;
  // Cost of a failed request beyond that of a successful one: about the latency
  // objective of the calls, because a failed call is repeated or fails its
  // program.
  double failure_penalty_ms = 500;
  // Failure rate below which no penalty applies.
  double tolerated_failure_share = 0.1;
  // Factor on the wait for a server that limits its requests: a request that
  // waits there also delays those that come to the server after it.
  double rate_wait_factor = 4;
  // Factor on the wait for a place at a full engine, for the same reason.
  double queue_wait_factor = 2;
  // Network round trip within the data centre and to another one.
  double local_round_trip_ms = 0.4;
  double remote_round_trip_ms = 2.5;
};

// Inputs to the placement of one request.
struct PlacementRequest {
  const RequestProfile& profile;
  const PromptChain& chain;
  const Service& service;
  bool sticky = false;
  // Ids of servers that must not be chosen.
  const std::vector<std::string>& excluded;
  // Software version that the server must have; null for any.
  const std::string* software_version = nullptr;
  // A caller may take the stream up again, so that its server's version must be
  // known to all gateways.
  bool resumable = false;
  // The request must not meet another one that was at work in several crashes.
  bool apart = false;
  // Age of what this gateway knows of the other gateways' requests.
  base::Duration news_age{0};
};

// What a completed request brought.
struct RequestOutput {
  // Times from the send to the first output, only of an engine, and to the end.
  base::Duration first_output{0};
  base::Duration elapsed{0};
  // Slowdown factor that the server stated in the response.
  std::optional<double> reported_slowness;
  // Tokens of all events, and of the events after the first.
  std::int64_t tokens = 0;
  std::int64_t tokens_after_first = 0;
  std::int64_t max_tokens = 0;
};

// Result of a placement.
struct Placement {
  // Null if no server is available.
  ServerSlotPtr slot;
  // Prompt tokens that the chosen server has to prefill.
  std::int64_t prefill_tokens = 0;
  // Minimum of prefill_tokens over all candidates.
  std::int64_t least_prefill_tokens = 0;
  // Estimated cost of the chosen server, including penalties.
  double estimate_ms = 0;
  // Open requests at the chosen server at the time of the decision.
  int open = 0;
  // Slowdown factor of the chosen server at the time of the decision.
  double slowness = 1;
  // Learned time of the server relative to the others of its service.
  double relative_time = 1;
  // Requests that other gateways have presumably sent to the candidates since
  // the last news from them.
  double unseen = 0;
  // Time until the server takes another request, by the rate that it states.
  base::Duration rate_wait{0};
  // Number of servers compared.
  int candidates = 0;
};

// Chooses the server at which a request costs the least time: the time to its
// completion, including the wait for a server that limits its requests, plus
// the delay that it causes to the requests running there. Servers between which
// the requests of other gateways, still unseen, leave no difference are chosen
// at random; see balance::ChooseByLevel(). Speeds are learned from responses.
// Intended for workloads in which prefill takes much of the servers' time.
// Not thread-safe.
class Placer {
 public:
  Placer(PlacementSettings settings,
         std::string data_centre,
         std::uint64_t seed);

  Placement Place(const std::vector<ServerSlotPtr>& servers,
                  const PlacementRequest& request,
                  base::TimePoint now);

  // Records that the server received the prompt and will cache it.
  void OnPromptSent(const ServerSlot& slot,
                    const Service& service,
                    const PromptChain& chain);
  void RemoveServer(const std::string& id);

  // The placed request ended whole.
  void OnCompleted(const Placement& placement,
                   const Service& service,
                   const RequestOutput& output,
                   base::TimePoint now);

 private:
  // What an estimate depends on beside the server.
  struct Context {
    const PlacementRequest& request;
    balance::ServiceSpeed& speed;
    balance::Speeds speeds;
    base::TimePoint now{};
    // Expected for a typical request.
    std::int64_t least_prefill_tokens = 0;
    const ServerSlot* preferred = nullptr;
  };
  // A server's open requests, without those that have ended since the news.
  struct OpenRequests {
    double left = 0;
    // Share of the known ones that is left.
    double share = 1;
    double ended = 0;
  };

  std::int64_t PrefillTokens(const ServerSlot& slot,
                             const PlacementRequest& request) const;
  static OpenRequests EstimateOpen(const ServerSlot& slot,
                                   const Context& context);
  static bool MayTake(const ServerSlot& slot,
                      const PlacementRequest& request,
                      base::TimePoint now);
  balance::Candidate EstimateEngine(const ServerSlot& slot,
                                    const Context& context,
                                    const OpenRequests& open,
                                    std::int64_t prefill_tokens) const;
  balance::Candidate EstimatePlain(const ServerSlot& slot,
                                   const Context& context,
                                   const OpenRequests& open) const;
  balance::ServiceSpeed& SpeedOf(const Service& service);
  double RoundTripMs(const ServerSlot& slot) const;
  static base::Duration RateWait(const ServerSlot& slot, base::TimePoint now);
  // Expected cost of a failure at the server. Added like any other cost, so
  // that a failing server is still used when waiting at the others costs more.
  double FailurePenaltyMs(const ServerSlot& slot, base::TimePoint now) const;

  PlacementSettings settings_;
  std::string data_centre_;
  base::Random random_;
  // By server id.
  std::map<std::string, PromptIndex, std::less<>> prompt_indexes_;
  // By service.
  std::map<std::string, balance::ServiceSpeed, std::less<>> speeds_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PLACEMENT_H_
