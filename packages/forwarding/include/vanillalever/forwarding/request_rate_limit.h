#ifndef VANILLALEVER_FORWARDING_REQUEST_RATE_LIMIT_H_
#define VANILLALEVER_FORWARDING_REQUEST_RATE_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/rate/shared_rate.h"

namespace vanillalever::forwarding {

// What a server said last about its request rate.
struct RateStatement {
  // Requests a second that it takes from all gateways together; absent if it
  // takes any number.
  std::optional<double> per_second;
  base::TimePoint stated_at{};
};

// Spaces the requests of all gateways to one server by the rate that the server
// states; see rate::SharedRate. So that few requests can cross on the way, only
// some of the gateways use a server with a low limit. Intended for overloaded
// servers, which get all the requests that they ask for and no more. Not
// thread-safe.
class RequestRateLimit {
 public:
  // Ignores statements that are older than the current one. Returns whether the
  // limit began, ended or changed.
  bool OnStatement(const RateStatement& statement);
  // A request is sent now, or at the time that next_send_at() has returned.
  void OnSend(base::TimePoint now);
  // Another gateway has sent `total` requests since its start.
  void OnPeerSends(std::uint64_t peer,
                   std::uint32_t total,
                   base::TimePoint now);
  // Fraction of the gateways that this one can reach, itself included: the
  // others may use the rest of the rate.
  void SetReachableShare(double share) { rate_.SetReachableShare(share); }

  // Rank of this gateway for the server among the live gateways, from zero;
  // different for each server, and the same in the view of all gateways.
  void SetRank(std::size_t rank) { rank_ = rank; }

  // Whether this gateway may send new requests to the server.
  bool accepts_requests() const;
  // Earliest time of another request; in the past if one may be sent at once.
  base::TimePoint next_send_at() const;
  // Limit that the server states now, in requests a second.
  std::optional<double> per_second() const {
    return statement_ ? statement_->per_second : std::nullopt;
  }
  // The last statement, as long as other gateways may need it.
  std::optional<RateStatement> recent_statement(base::TimePoint now) const;
  // Requests that this gateway has sent, modulo 2^32.
  std::uint32_t sends() const { return sends_; }

 private:
  std::optional<RateStatement> statement_;
  // End of the last limit.
  std::optional<base::TimePoint> ended_at_;
  std::size_t rank_ = 0;
  std::uint32_t sends_ = 0;
  rate::SharedRate rate_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_REQUEST_RATE_LIMIT_H_
