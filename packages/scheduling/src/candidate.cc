#include "vanillalever/scheduling/candidate.h"

#include <algorithm>

namespace vanillalever::scheduling {

bool IsEligible(const Candidate& candidate, const CallProfile& call) {
  if (candidate.leaving || candidate.quarantined)
    return false;
  if (call.only_server)
    return *call.only_server == candidate.server;
  return std::find(call.excluded.begin(), call.excluded.end(),
                   candidate.server) == call.excluded.end();
}

double WorkTokens(const CallProfile& call, ServerIndex server) {
  double cached = 0;
  for (const CacheHolder& holder : call.holders) {
    if (holder.server == server)
      cached = std::max(cached, holder.tokens * holder.confidence);
  }
  return std::max(0.0, call.prompt_tokens - cached) +
         kDecodeWeight * call.output_tokens;
}

}  // namespace vanillalever::scheduling
