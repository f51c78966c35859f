#ifndef VANILLALEVER_FORWARDING_SERVER_LOAD_H_
#define VANILLALEVER_FORWARDING_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>

#include "vanillalever/balance/decayed_fit.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Load that a server reported in a response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // Slowdown factor of the server's machine; 1 is normal speed.
  double slowness = 1;
};

// Open work of another gateway at a server, as that gateway announced it.
struct PeerLoad {
  int open = 0;
  // Those of the open requests that were at work in several crashes.
  int suspects = 0;
  // Prompt tokens sent and not yet prefilled.
  std::int64_t prefill_tokens = 0;
  base::TimePoint received_at{};
};

// Number of requests to a server by outcome.
struct RequestOutcomes {
  int answered = 0;
  // No response, an incomplete one, or a server error.
  int failed = 0;
};

// Estimated load of one server: the exact count of this gateway's open
// requests, the counts last announced by other gateways, and the server's
// reports. Not thread-safe.
class ServerLoad {
 public:
  ServerLoad();

  // A request with `prefill_tokens` uncached prompt tokens was sent.
  void OnSend(std::int64_t prefill_tokens);
  // Its first output arrived, so its prefill is complete.
  void OnFirstOutput(std::int64_t prefill_tokens);
  // It ended. `prefill_tokens` as for OnSend() if no output arrived, else 0.
  void OnEnd(std::int64_t prefill_tokens);

  // One of the open requests was at work in several crashes; it was sent, or
  // has ended.
  void OnSuspectSent() { ++local_suspects_; }
  void OnSuspectEnded() { --local_suspects_; }

  void OnReport(const LoadReport& report, base::TimePoint now);
  void OnPeerLoad(std::uint64_t peer, const PeerLoad& load);
  void RemovePeer(std::uint64_t peer);
  // Another gateway has just received this slowness from the server.
  void OnSlowness(double slowness, base::TimePoint now);

  // Requests of this or another gateway ended at the server.
  void OnOutcomes(const RequestOutcomes& outcomes, base::TimePoint now);
  // The server refused a request because it was full.
  void OnRefused(base::TimePoint now);
  // A connection to the server failed.
  void OnUnreachable(base::TimePoint now);
  // A response arrived.
  void OnReachable();

  // Open requests of all gateways at the server.
  int open(base::TimePoint now) const;
  int local_open() const { return local_open_; }
  // Open requests of all gateways that were at work in several crashes.
  int suspects(base::TimePoint now) const;
  int local_suspects() const { return local_suspects_; }
  std::int64_t local_prefill_tokens() const { return local_prefill_tokens_; }
  // Prompt tokens queued for prefill at the server.
  std::int64_t prefill_tokens(base::TimePoint now) const;
  // Slowdown factor; falls back to the server's usual one as the last report
  // ages, and to 1 without reports.
  double slowness(base::TimePoint now) const;
  // Connections failed recently: other servers are preferred.
  bool suspect(base::TimePoint now) const;
  // Recent failure rate, 0 to 1; low while few outcomes are known. Decays with
  // time, so that the server is tried again.
  double failure_share(base::TimePoint now) const;
  // The server recently refused a request because it was full.
  bool full(base::TimePoint now) const;

 private:
  // Factor by which the outcome counts have decayed since the last update.
  double OutcomeDecay(base::TimePoint now) const;

  int local_open_ = 0;
  int local_suspects_ = 0;
  std::int64_t local_prefill_tokens_ = 0;
  std::map<std::uint64_t, PeerLoad> peers_;
  std::optional<LoadReport> report_;
  base::TimePoint report_received_at_{};
  double slowness_ = 1;
  base::TimePoint slowness_updated_at_{};
  // Logarithm of the reported slowness.
  balance::DecayedUsual usual_slowness_;
  std::optional<base::TimePoint> last_refusal_;
  std::optional<base::TimePoint> suspect_until_;
  int consecutive_failures_ = 0;
  // Exponentially decayed outcome counts.
  double recent_successes_ = 0;
  double recent_failures_ = 0;
  base::TimePoint outcomes_updated_at_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_LOAD_H_
