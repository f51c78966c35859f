#include "vanillalever/scheduling/cache_affinity_picker.h"

namespace vanillalever::scheduling {
namespace {

// Rendezvous hash of a program and a server (finaliser of SplitMix64).
std::uint64_t RendezvousHash(ProgramKey program, ServerIndex server) {
  std::uint64_t x = program + 0x9e3779b97f4a7c15ULL * (server + 1ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

std::optional<std::size_t> CacheAffinityPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& /*random*/) {
  std::optional<std::size_t> best;
  double best_tokens = 0;
  std::uint64_t best_hash = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!IsEligible(candidates[i], call))
      continue;
    double tokens = 0;
    for (const CacheHolder& holder : call.holders) {
      if (holder.server == candidates[i].server)
        tokens = holder.tokens * holder.confidence;
    }
    std::uint64_t hash = RendezvousHash(call.program, candidates[i].server);
    if (best &&
        (tokens < best_tokens || (tokens == best_tokens && hash <= best_hash)))
      continue;
    best = i;
    best_tokens = tokens;
    best_hash = hash;
  }
  return best;
}

}  // namespace vanillalever::scheduling
