#ifndef VANILLALEVER_SCHEDULING_CANDIDATE_H_
#define VANILLALEVER_SCHEDULING_CANDIDATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Index of a backend server within its pool, assigned by the process that
// picks.
using ServerIndex = std::uint32_t;

// Hash of a program id.
using ProgramKey = std::uint64_t;

// Work tokens per generated token. Load in this package is measured in work
// tokens: one per prompt token to compute and kDecodeWeight per token to
// generate, which costs an engine several times as much because prompt tokens
// are computed in parallel.
inline constexpr double kDecodeWeight = 8.0;

// Load and state of one backend server, as known to the picking process.
struct Candidate {
  ServerIndex server = 0;
  // Work queued and running at the server according to its latest report (work
  // tokens).
  double backlog_tokens = 0;
  // Time since the latest report arrived.
  base::Duration report_age{0};
  // Rate at which the server works off its backlog (work tokens per second).
  double service_rate = 1;
  // Long-run rate divided by recent rate: 1 is normal, 4 is four times slower.
  double slowness = 1;
  // Share of the server's KV memory that programs in progress hold, in [0, 1].
  double kv_cache_usage = 0;
  // Work that this process sent after the latest report was measured (work
  // tokens).
  double sent_tokens = 0;
  // Calls that this process sent to the server and that have not ended.
  std::uint32_t open_calls = 0;
  // One-way network latency to the server's data centre.
  base::Duration distance{0};
  // The server is draining and accepts no new work.
  bool leaving = false;
  // The server must not receive the call, because it is suspect or unreachable.
  bool quarantined = false;
};

// Cached prompt prefix that a server probably holds for a program.
struct CacheHolder {
  ServerIndex server = 0;
  double tokens = 0;
  // Probability in [0, 1] that the prefix is still cached.
  double confidence = 1;
};

// Properties of a call that determine the choice of its server.
struct CallProfile {
  ProgramKey program = 0;
  // Length of the whole prompt, including any cached part (tokens).
  double prompt_tokens = 0;
  // Expected length of the output (tokens).
  double output_tokens = 0;
  // Servers that probably hold a prefix of the prompt.
  std::vector<CacheHolder> holders{};
  // Servers on which the call already failed or on which its first attempt is
  // running.
  std::vector<ServerIndex> excluded{};
  // The only server that may run the call; set for suspect requests.
  std::optional<ServerIndex> only_server{};
};

// Whether `candidate` may run `call`.
bool IsEligible(const Candidate& candidate, const CallProfile& call);

// Work tokens that `call` costs on `server`, less the cached part of the
// prompt.
double WorkTokens(const CallProfile& call, ServerIndex server);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CANDIDATE_H_
