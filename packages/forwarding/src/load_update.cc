#include "vanillalever/forwarding/load_update.h"

namespace vanillalever::forwarding {

namespace wire = protocol::peer;

LoadUpdate ReadLoad(const wire::ServerLoad::Reader& reported) {
  return {reported.getOpen(),
          reported.getPrefillTokens(),
          reported.getSlowness(),
          {reported.getAnswered(), reported.getFailed()}};
}

void WriteLoad(std::uint64_t server,
               const LoadUpdate& load,
               wire::ServerLoad::Builder out) {
  out.setServer(server);
  out.setOpen(load.open);
  out.setPrefillTokens(load.prefill_tokens);
  out.setSlowness(load.slowness);
  out.setAnswered(static_cast<std::uint16_t>(load.outcomes.answered));
  out.setFailed(static_cast<std::uint16_t>(load.outcomes.failed));
}

void ReplaceLoad(const LoadUpdate& newer, LoadUpdate* pending) {
  RequestOutcomes before = pending->outcomes;
  *pending = newer;
  pending->outcomes.answered += before.answered;
  pending->outcomes.failed += before.failed;
}

}  // namespace vanillalever::forwarding
