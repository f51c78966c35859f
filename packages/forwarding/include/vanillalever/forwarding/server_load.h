#ifndef VANILLALEVER_FORWARDING_SERVER_LOAD_H_
#define VANILLALEVER_FORWARDING_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Load that a server reported with an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // How long work takes on the server's machine now; 1 is as usual.
  double slowness = 1;
};

// What another entry says it has open at a server.
struct PeerLoad {
  int open = 0;
  // Prompt tokens sent and not yet computed.
  std::int64_t prefill_tokens = 0;
  base::TimePoint received_at{};
};

// How requests ended at a server.
struct RequestOutcomes {
  int answered = 0;
  // No answer, a broken one, or a failure of the server's own.
  int failed = 0;
};

// Load of one server as this process knows it: its own open requests exactly,
// those of other entries as they were last told, and the server's own reports.
// Not thread-safe.
class ServerLoad {
 public:
  // A request with `prefill_tokens` prompt tokens to compute was sent.
  void OnSend(std::int64_t prefill_tokens);
  // Its first output arrived, so that its prompt is computed.
  void OnFirstOutput(std::int64_t prefill_tokens);
  // It ended. `prefill_tokens` as for OnSend if no output has arrived, else 0.
  void OnEnd(std::int64_t prefill_tokens);

  void OnReport(const LoadReport& report, base::TimePoint now);
  void OnPeerLoad(std::uint64_t peer, const PeerLoad& load);
  void RemovePeer(std::uint64_t peer);
  // The slowness as another entry has just seen it.
  void OnSlowness(double slowness, base::TimePoint now);

  // The server refused a request because it was full.
  // Requests ended so at the server, here or at another entry.
  void OnOutcomes(const RequestOutcomes& outcomes, base::TimePoint now);
  void OnRefused(base::TimePoint now);
  // A connection to the server could not be made or broke.
  void OnUnreachable(base::TimePoint now);
  // An answer arrived.
  void OnReachable();

  // Requests open at the server, of all entries.
  int open(base::TimePoint now) const;
  int local_open() const { return own_open_; }
  std::int64_t local_prefill_tokens() const { return own_prefill_; }
  // Prompt tokens still to be computed before a new request's prompt.
  std::int64_t prefill_tokens(base::TimePoint now) const;
  // Factor on the time of all work; 1 is as usual.
  double slowness(base::TimePoint now) const;
  // The server should not be tried before others now.
  bool suspect(base::TimePoint now) const;
  // Share of the server's requests that have failed lately, 0 to 1; small while
  // few are known. Falls with time, so that the server is tried again.
  double failure_share(base::TimePoint now) const;
  // The server said recently that it is full.
  bool full(base::TimePoint now) const;

 private:
  // Part of the outcomes known last that still counts.
  double KeptOutcomes(base::TimePoint now) const;

  int own_open_ = 0;
  std::int64_t own_prefill_ = 0;
  std::map<std::uint64_t, PeerLoad> peers_;
  std::optional<LoadReport> report_;
  base::TimePoint reported_{};
  double slowness_ = 1;
  base::TimePoint slowness_seen_{};
  std::optional<base::TimePoint> refused_;
  std::optional<base::TimePoint> suspect_until_;
  int failures_in_row_ = 0;
  // Outcomes of late, each halved with every half-life that has passed.
  double recent_answered_ = 0;
  double recent_failed_ = 0;
  base::TimePoint outcomes_seen_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_LOAD_H_
