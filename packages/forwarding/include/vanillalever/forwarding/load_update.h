#ifndef VANILLALEVER_FORWARDING_LOAD_UPDATE_H_
#define VANILLALEVER_FORWARDING_LOAD_UPDATE_H_

#include <cstdint>
#include <optional>

#include "peer.capnp.h"

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/request_rate_limit.h"
#include "vanillalever/forwarding/server_load.h"

namespace vanillalever::forwarding {

// What a gateway announces to the others about one server.
struct LoadUpdate {
  // Open requests of the gateway.
  std::uint16_t open = 0;
  // Those of them that were at work in several crashes.
  std::uint16_t suspects = 0;
  std::uint32_t prefill_tokens = 0;
  // Slowness in percent, as reported since the last message; 0 if unknown.
  std::uint16_t slowness = 0;
  // Start time of the server's run that has said that it leaves.
  std::optional<std::int64_t> leaving_run;
  // Outcomes of requests since the last message.
  RequestOutcomes outcomes;
  // What the server said about its request rate, and the requests that the
  // gateway has sent to it since its start.
  std::optional<RateStatement> rate;
  std::uint32_t sends = 0;
};

LoadUpdate ReadLoad(const protocol::peer::ServerLoad::Reader& reported,
                    base::TimePoint now);
// `server`: hash of the server's id.
void WriteLoad(std::uint64_t server,
               const LoadUpdate& load,
               base::TimePoint now,
               protocol::peer::ServerLoad::Builder out);
// Replaces an update that is still to be relayed by a newer one of the same
// gateway: outcomes add up.
void ReplaceLoad(const LoadUpdate& newer, LoadUpdate* pending);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_LOAD_UPDATE_H_
