#include "vanillalever/forwarding/server_load.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// Three times the longest interval between a gateway's load messages.
constexpr milliseconds kPeerLoadLifetime{1000};
// A quarter of the time in which a reported slowness loses its effect. Short,
// because the load on a server's machine changes many times a second.
constexpr milliseconds kSlownessLifetime{300};
// Half-life of the usual slowness of a server: many of the changes above. A
// server that was slow is then tried again from time to time.
constexpr base::seconds kUsualSlownessHalfLife{10};
// Change of the usual slowness in a second (a logarithm): slow against the
// disturbances of a server's machine.
constexpr double kUsualSlownessSpeed = 0.25;
// A usual slowness closer to 1 than this (a logarithm) is taken for noise,
// which must not keep requests from a server.
constexpr double kSlownessNoise = 0.2;
// Least slowness that counts; a malformed report may hold zero.
constexpr double kLeastSlowness = 0.05;
// After this time, about that of one short request, the counts that a server
// reported are ignored in favour of the gateways' counts.
constexpr milliseconds kReportedCountLifetime{100};
// A server that refused a request counts as full for about the time in which
// one of its requests ends.
constexpr milliseconds kFullDuration{60};
// Doubles with each consecutive failure.
constexpr milliseconds kInitialSuspectDuration{250};
constexpr milliseconds kMaxSuspectDuration{2000};
// Half-life of the outcome counts: the time of a few requests, so that a
// recovered server is soon tried again.
constexpr milliseconds kOutcomeHalfLife{2000};
// Prior successes in the failure rate, so that a single failure has little
// effect.
constexpr double kPriorSuccesses = 4;
// Number of times that the suspect duration doubles.
constexpr int kMaxSuspectDoublings = 3;

}  // namespace

ServerLoad::ServerLoad()
    : usual_slowness_(kUsualSlownessSpeed, kUsualSlownessHalfLife) {}

void ServerLoad::OnSend(std::int64_t prefill_tokens) {
  ++local_open_;
  local_prefill_tokens_ += prefill_tokens;
}

void ServerLoad::OnFirstOutput(std::int64_t prefill_tokens) {
  local_prefill_tokens_ -= prefill_tokens;
  assert(local_prefill_tokens_ >= 0);
}

void ServerLoad::OnEnd(std::int64_t prefill_tokens) {
  --local_open_;
  local_prefill_tokens_ -= prefill_tokens;
  assert(local_open_ >= 0 && local_prefill_tokens_ >= 0);
}

void ServerLoad::OnReport(const LoadReport& report, base::TimePoint now) {
  report_ = report;
  report_received_at_ = now;
  OnSlowness(report.slowness, now);
}

void ServerLoad::OnPeerLoad(std::uint64_t peer, const PeerLoad& load) {
  if (load.open == 0)
    peers_.erase(peer);
  else
    peers_[peer] = load;
}

void ServerLoad::OnSlowness(double slowness, base::TimePoint now) {
  slowness_ = std::max(slowness, kLeastSlowness);
  slowness_updated_at_ = now;
  usual_slowness_.Add(std::log(slowness_), now);
}

void ServerLoad::RemovePeer(std::uint64_t peer) {
  peers_.erase(peer);
}

void ServerLoad::OnRefused(base::TimePoint now) {
  last_refusal_ = now;
}

void ServerLoad::OnUnreachable(base::TimePoint now) {
  consecutive_failures_ =
      std::min(consecutive_failures_ + 1, kMaxSuspectDoublings + 1);
  auto time = kInitialSuspectDuration * (1 << (consecutive_failures_ - 1));
  suspect_until_ = now + std::min<milliseconds>(time, kMaxSuspectDuration);
}

void ServerLoad::OnReachable() {
  consecutive_failures_ = 0;
  suspect_until_.reset();
}

int ServerLoad::open(base::TimePoint now) const {
  int count = local_open_;
  for (const auto& [peer, load] : peers_) {
    if (now - load.received_at < kPeerLoadLifetime)
      count += load.open;
  }
  if (report_ && now - report_received_at_ < kReportedCountLifetime)
    count = std::max(count, report_->running + report_->waiting);
  return count;
}

int ServerLoad::suspects(base::TimePoint now) const {
  int count = local_suspects_;
  for (const auto& [peer, load] : peers_) {
    if (now - load.received_at < kPeerLoadLifetime)
      count += load.suspects;
  }
  return count;
}

std::int64_t ServerLoad::prefill_tokens(base::TimePoint now) const {
  std::int64_t tokens = local_prefill_tokens_;
  for (const auto& [peer, load] : peers_) {
    if (now - load.received_at < kPeerLoadLifetime)
      tokens += load.prefill_tokens;
  }
  return tokens;
}

double ServerLoad::slowness(base::TimePoint now) const {
  double age =
      std::chrono::duration<double>(now - slowness_updated_at_).count();
  double lifetime = std::chrono::duration<double>(kSlownessLifetime).count();
  double trust = std::max(0.0, 1 - age / (4 * lifetime));
  double logarithm = usual_slowness_.value(now);
  double usual = std::abs(logarithm) < kSlownessNoise ? 1 : std::exp(logarithm);
  return usual + trust * (slowness_ - usual);
}

void ServerLoad::OnOutcomes(const RequestOutcomes& outcomes,
                            base::TimePoint now) {
  double decay = OutcomeDecay(now);
  recent_successes_ = recent_successes_ * decay + outcomes.answered;
  recent_failures_ = recent_failures_ * decay + outcomes.failed;
  outcomes_updated_at_ = now;
}

double ServerLoad::OutcomeDecay(base::TimePoint now) const {
  double half_lives =
      std::chrono::duration<double>(now - outcomes_updated_at_) /
      std::chrono::duration<double>(kOutcomeHalfLife);
  return std::exp2(-half_lives);
}

double ServerLoad::failure_share(base::TimePoint now) const {
  double decay = OutcomeDecay(now);
  double failed = recent_failures_ * decay;
  return failed / (failed + recent_successes_ * decay + kPriorSuccesses);
}

bool ServerLoad::suspect(base::TimePoint now) const {
  return suspect_until_ && now < *suspect_until_;
}

bool ServerLoad::full(base::TimePoint now) const {
  return last_refusal_ && now - *last_refusal_ < kFullDuration;
}

}  // namespace vanillalever::forwarding
