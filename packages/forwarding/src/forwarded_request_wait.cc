// The part of a request that waits until a server takes it.

#include <algorithm>
#include <utility>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// Delay before the next placement if no server is available, and its jitter.
constexpr milliseconds kPlacementRetryDelay{15};
constexpr std::uint64_t kPlacementRetryJitterMs = 15;

}  // namespace

void ForwardedRequest::WaitForServer() {
  if (!VersionServes())
    return RefuseReplacedVersion();
  auto now = base::TimePoint::clock::now();
  if (now >= wait_limit() && possible_runs_ == 0 && !relaying_) {
    return Refuse(
        "no server can take the request",
        kRetryAfter + milliseconds(context_.random.Below(kRetryAfterJitterMs)));
  }
  ++waits_;
  excluded_.clear();
  WaitThen(kPlacementRetryDelay +
               milliseconds(context_.random.Below(kPlacementRetryJitterMs)),
           [](ForwardedRequest& self) { self.Place(); });
}

void ForwardedRequest::SendWhenTaken(const Placement& placement) {
  bool may_have_run = possible_runs_ > 0 || relaying_;
  QueuedRequest request{placement.rate_wait, time_left(), may_have_run};
  switch (context_.queue.Decide(request)) {
    case QueueDecision::kSend:
      CountTowardRate(*placement.slot);
      return Send(placement);
    case QueueDecision::kWait:
      // Counts now, so that later requests of all gateways wait behind it.
      CountTowardRate(*placement.slot);
      context_.metrics.rate_waits.Add();
      rate_waited_ += placement.rate_wait;
      return WaitThen(placement.rate_wait, [placement](ForwardedRequest& self) {
        if (placement.slot->accepts_requests())
          self.Send(placement);
        else
          self.Place();
      });
    case QueueDecision::kRefuse: {
      milliseconds delay = context_.queue.RetryAfter(placement.rate_wait);
      auto jitter = static_cast<std::uint64_t>(delay.count());
      return Refuse("all servers limit their requests",
                    delay + milliseconds(context_.random.Below(jitter)));
    }
  }
}

void ForwardedRequest::RetrySameServer() {
  Placement placement;
  placement.slot = slot_;
  auto now = base::TimePoint::clock::now();
  base::Duration backoff = context_.retries.Backoff(++same_server_attempts_);
  placement.rate_wait =
      std::max<base::Duration>(backoff, slot_->rate_limit.next_send_at() - now);
  if (placement.rate_wait >= time_left())
    return Fail(502, "the server takes no request before the time limit");
  CountTowardRate(*slot_);
  WaitThen(placement.rate_wait,
           [placement](ForwardedRequest& self) { self.SendAgain(placement); });
}

void ForwardedRequest::SendAgain(const Placement& placement) {
  // A server that has started again may have another version.
  if (placement.slot->removed)
    return Place();
  if (!HoldBack(Admit(), [placement](ForwardedRequest& self) {
        self.SendAgain(placement);
      }))
    Send(placement);
}

void ForwardedRequest::CountTowardRate(ServerSlot& slot) {
  slot.rate_limit.OnSend(base::TimePoint::clock::now());
  if (slot.rate_limit.per_second())
    context_.peers.AnnounceLoad(slot);
}

void ForwardedRequest::WaitThen(base::Duration delay,
                                std::function<void(ForwardedRequest&)> action) {
  wait_timer_.expires_after(delay);
  wait_timer_.async_wait([weak = weak_from_this(), action = std::move(action)](
                             boost::system::error_code error) {
    auto self = weak.lock();
    if (!error && self && !self->done_)
      action(*self);
  });
}

}  // namespace vanillalever::forwarding
