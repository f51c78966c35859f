#include "vanillalever/forwarding/queue_policy.h"

#include <algorithm>

namespace vanillalever::forwarding {
namespace {

// Shorter waits end before a caller could return.
constexpr base::milliseconds kMinRetryAfter{250};
constexpr base::milliseconds kMaxRetryAfter{1000};
// Fraction of the time left that a request may wait. While the demand exceeds
// what the servers take, a longer queue serves no more requests, and makes all
// of them later.
constexpr double kMaxWaitShare = 0.15;

}  // namespace

QueueDecision QueuePolicy::Decide(const QueuedRequest& request) const {
  if (request.wait <= base::Duration(0))
    return QueueDecision::kSend;
  base::Duration limit = request.time_left;
  if (!request.may_have_run)
    limit = std::chrono::duration_cast<base::Duration>(kMaxWaitShare * limit);
  return request.wait < limit ? QueueDecision::kWait : QueueDecision::kRefuse;
}

base::milliseconds QueuePolicy::RetryAfter(base::Duration wait) const {
  return std::clamp(std::chrono::duration_cast<base::milliseconds>(wait),
                    kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace vanillalever::forwarding
