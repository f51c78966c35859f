#include "vanillalever/forwarding/request_rate_limit.h"

#include <algorithm>

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// Time for which unused requests may be made up for.
constexpr milliseconds kMaxCredit{500};
// Bounds the effect of requests that were sent before they were announced.
constexpr milliseconds kMaxDebt{4000};
// A server that takes nothing still gets an occasional request, whose response
// tells when it takes more.
constexpr double kMinRatePerSecond = 0.25;
// Number of gateways that use a server, per request a second that it takes. One
// request of each may cross those of the others, which must not double the
// requests of a window.
constexpr double kGatewaysPerRate = 2;
// The end of a limit is announced for several load messages.
constexpr milliseconds kEndAnnounced{2000};

}  // namespace

bool RequestRateLimit::OnStatement(const RateStatement& statement) {
  if (statement_ && statement.stated_at < statement_->stated_at)
    return false;
  std::optional<double> before = per_second();
  statement_ = statement;
  if (statement.per_second == before)
    return false;
  if (!statement.per_second) {
    ended_at_ = statement.stated_at;
    rate_.RemovePeers();
    return true;
  }
  rate_.SetLimit({std::max(*statement.per_second, kMinRatePerSecond),
                  kMaxCredit, kMaxDebt},
                 statement.stated_at);
  if (!before)
    rate_.Restart(statement.stated_at);
  return true;
}

void RequestRateLimit::OnSend(base::TimePoint now) {
  ++sends_;
  if (per_second())
    rate_.Take(now);
}

void RequestRateLimit::OnPeerSends(std::uint64_t peer,
                                   std::uint32_t total,
                                   base::TimePoint now) {
  if (per_second())
    rate_.OnPeerTotals(peer, {total, 0}, 0, rate::PeerContact::kSteady, now);
}

bool RequestRateLimit::accepts_requests() const {
  return !per_second() || static_cast<double>(rank_) <
                              std::max(1.0, kGatewaysPerRate * *per_second());
}

base::TimePoint RequestRateLimit::next_send_at() const {
  return per_second() ? rate_.next_at() : base::TimePoint{};
}

std::optional<RateStatement> RequestRateLimit::recent_statement(
    base::TimePoint now) const {
  if (per_second() || (ended_at_ && now - *ended_at_ < kEndAnnounced))
    return statement_;
  return std::nullopt;
}

}  // namespace vanillalever::forwarding
