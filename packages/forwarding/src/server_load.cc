#include "vanillalever/forwarding/server_load.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// What another entry said counts for this long: three times the longest
// interval between its messages.
constexpr milliseconds kPeerLifetime{1000};
// The load on a server's machine changes many times a second.
constexpr milliseconds kReportLifetime{300};
// Reported counts are replaced by own and peers' counts after this time: about
// the time of one short request.
constexpr milliseconds kCountLifetime{100};
// How long a refusing server is taken to be full: about the time in which one
// of its requests ends.
constexpr milliseconds kFullTime{60};
// Suspicion after the first failure; doubles with each further one.
constexpr milliseconds kFirstSuspicion{250};
constexpr milliseconds kLongestSuspicion{2000};
// Half-life of what is known of a server's failures: some requests' time, so
// that a server that has recovered is soon tried again.
constexpr milliseconds kOutcomeHalfLife{2000};
// Answered requests that count in advance, so that a single failure says
// little.
constexpr double kAnsweredInAdvance = 4;
// Failures after which the time of suspicion no longer grows.
constexpr int kSuspicionSteps = 3;

}  // namespace

void ServerLoad::OnSend(std::int64_t prefill_tokens) {
  ++own_open_;
  own_prefill_ += prefill_tokens;
}

void ServerLoad::OnFirstOutput(std::int64_t prefill_tokens) {
  own_prefill_ -= prefill_tokens;
  assert(own_prefill_ >= 0);
}

void ServerLoad::OnEnd(std::int64_t prefill_tokens) {
  --own_open_;
  own_prefill_ -= prefill_tokens;
  assert(own_open_ >= 0 && own_prefill_ >= 0);
}

void ServerLoad::OnReport(const LoadReport& report, base::TimePoint now) {
  report_ = report;
  reported_ = now;
  OnSlowness(report.slowness, now);
}

void ServerLoad::OnPeerLoad(std::uint64_t peer, const PeerLoad& load) {
  if (load.open == 0)
    peers_.erase(peer);
  else
    peers_[peer] = load;
}

void ServerLoad::OnSlowness(double slowness, base::TimePoint now) {
  slowness_ = slowness;
  slowness_seen_ = now;
}

void ServerLoad::RemovePeer(std::uint64_t peer) {
  peers_.erase(peer);
}

void ServerLoad::OnRefused(base::TimePoint now) {
  refused_ = now;
}

void ServerLoad::OnUnreachable(base::TimePoint now) {
  failures_in_row_ = std::min(failures_in_row_ + 1, kSuspicionSteps + 1);
  auto time = kFirstSuspicion * (1 << (failures_in_row_ - 1));
  suspect_until_ = now + std::min<milliseconds>(time, kLongestSuspicion);
}

void ServerLoad::OnReachable() {
  failures_in_row_ = 0;
  suspect_until_.reset();
}

int ServerLoad::open(base::TimePoint now) const {
  int count = own_open_;
  for (const auto& [peer, load] : peers_) {
    if (now - load.received_at < kPeerLifetime)
      count += load.open;
  }
  if (report_ && now - reported_ < kCountLifetime)
    count = std::max(count, report_->running + report_->waiting);
  return count;
}

std::int64_t ServerLoad::prefill_tokens(base::TimePoint now) const {
  std::int64_t tokens = own_prefill_;
  for (const auto& [peer, load] : peers_) {
    if (now - load.received_at < kPeerLifetime)
      tokens += load.prefill_tokens;
  }
  return tokens;
}

double ServerLoad::slowness(base::TimePoint now) const {
  double age = std::chrono::duration<double>(now - slowness_seen_).count();
  double lifetime = std::chrono::duration<double>(kReportLifetime).count();
  double trust = std::max(0.0, 1 - age / (4 * lifetime));
  return 1 + trust * (slowness_ - 1);
}

void ServerLoad::OnOutcomes(const RequestOutcomes& outcomes,
                            base::TimePoint now) {
  double kept = KeptOutcomes(now);
  recent_answered_ = recent_answered_ * kept + outcomes.answered;
  recent_failed_ = recent_failed_ * kept + outcomes.failed;
  outcomes_seen_ = now;
}

double ServerLoad::KeptOutcomes(base::TimePoint now) const {
  double half_lives = std::chrono::duration<double>(now - outcomes_seen_) /
                      std::chrono::duration<double>(kOutcomeHalfLife);
  return std::exp2(-half_lives);
}

double ServerLoad::failure_share(base::TimePoint now) const {
  double kept = KeptOutcomes(now);
  double failed = recent_failed_ * kept;
  return failed / (failed + recent_answered_ * kept + kAnsweredInAdvance);
}

bool ServerLoad::suspect(base::TimePoint now) const {
  return suspect_until_ && now < *suspect_until_;
}

bool ServerLoad::full(base::TimePoint now) const {
  return refused_ && now - *refused_ < kFullTime;
}

}  // namespace vanillalever::forwarding
