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

// Load is counted in work tokens everywhere in this package: one per prompt
// token to compute, and `kDecodeWeight` per token to generate.
// A generated token costs an engine several times as much as a prompt token,
// because prompt tokens are computed in parallel.
inline constexpr double kDecodeWeight = 8.0;

// What the picking process knows about one backend server.
struct Candidate {
  ServerIndex server = 0;
  // Work queued and running at the server, from its latest report (work
  // tokens).
  double backlog_tokens = 0;
  // Time since the latest report arrived.
  base::Duration report_age{0};
  // Rate at which the server works off its backlog (work tokens per second).
  double service_rate = 1;
  // Long-run rate divided by recent rate; 1 is normal, 4 is four times slower.
  double slowness = 1;
  // Share of the server's KV memory that programs in progress hold, in [0, 1].
  double kv_cache_usage = 0;
  // Work this process sent to the server after that report (work tokens).
  double sent_tokens = 0;
  // Calls this process sent to the server and that have not ended.
  std::uint32_t open_calls = 0;
  // One-way network latency to the server's data centre.
  base::Duration distance{0};
  // The server is being drained and accepts no new work.
  bool leaving = false;
  // The server must not receive this call: it is suspect, or it is unreachable.
  bool quarantined = false;
};

// Prompt tokens of a program that a server is believed to hold in its cache.
struct CacheHolder {
  ServerIndex server = 0;
  double tokens = 0;
  // Probability in [0, 1] that the prefix is still there.
  double confidence = 1;
};

// What a picker needs to know about the call.
struct CallProfile {
  ProgramKey program = 0;
  // Whole prompt of the call, including the part that may be cached (tokens).
  double prompt_tokens = 0;
  // Expected output (tokens).
  double output_tokens = 0;
  // Servers believed to hold a prefix of the prompt.
  std::vector<CacheHolder> holders{};
  // Servers that already failed this call, or that run its first attempt.
  std::vector<ServerIndex> excluded{};
  // The only server that may run the call; set for suspect requests.
  std::optional<ServerIndex> only_server{};
};

// Whether `candidate` may run `call` at all.
bool Eligible(const Candidate& candidate, const CallProfile& call);

// Work tokens that `call` costs on `server`, given what it has cached.
double WorkTokens(const CallProfile& call, ServerIndex server);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CANDIDATE_H_
