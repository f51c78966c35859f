#ifndef VANILLALEVER_FORWARDING_QUEUE_POLICY_H_
#define VANILLALEVER_FORWARDING_QUEUE_POLICY_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// What happens to a request whose best server takes it only later.
enum class QueueDecision {
  kSend,    // the server takes it now
  kWait,    // it waits for the server
  kRefuse,  // it would wait too long: the caller should return later
};

// A request before it is sent to its best server.
struct QueuedRequest {
  // Time until the server takes it.
  base::Duration wait{0};
  // Time until the request's deadline.
  base::Duration time_left{0};
  // A server may have run part of it, so that it cannot be refused.
  bool may_have_run = false;
};

// Decides which requests wait for a server that limits its request rate.
// Intended for a demand above what all servers take: as the wait is known in
// advance, the requests that cannot be served in time are refused at once, and
// those that wait are served in the order of their arrival. Stateless.
class QueuePolicy {
 public:
  QueueDecision Decide(const QueuedRequest& request) const;
  // Minimum delay before the caller of a refused request returns: by then the
  // requests that wait now have been sent.
  base::milliseconds RetryAfter(base::Duration wait) const;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_QUEUE_POLICY_H_
