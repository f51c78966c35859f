#ifndef VANILLALEVER_FORWARDING_RETRY_POLICY_H_
#define VANILLALEVER_FORWARDING_RETRY_POLICY_H_

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/forwarding/route_config.h"

namespace vanillalever::forwarding {

// How an attempt to send a request to a server failed.
enum class SendFailure {
  kNotSent,   // no byte of the request was sent
  kRefused,   // the server states that it did not run the request
  kNoAnswer,  // sent without a usable response: it may have run
  kBroken,    // the response is incomplete
};

inline constexpr base::NameTable<SendFailure, 4> kSendFailureNames({
    "not_sent",
    "refused",
    "no_answer",
    "broken",
});

// Action after a failed send.
enum class RetryDecision {
  kRetryOtherServer,  // place the request again, excluding the failed server
  kRetrySameServer,   // retry at the server that may have run it
  kGiveUp,            // report an unknown outcome, or abort the stream
};

// State of a request at the time of the failure.
struct RetryState {
  RequestKind kind = RequestKind::kNonIdempotent;
  // The stream may be resumed.
  bool resumable = false;
  // Sends after which a server may have run the request.
  int possible_runs = 0;
  // Maximum number of servers that may run it.
  int max_servers = 1;
  // The failed server was removed or could not be reached.
  bool server_unavailable = false;
  // Retries so far at the server that may have run it.
  int same_server_attempts = 0;
};

// Decides by the request's kind whether a failed send may be retried.
// Stateless.
class RetryPolicy {
 public:
  RetryDecision Decide(SendFailure failure, const RetryState& state) const;
  // Delay before retry number `attempts` at the same server.
  base::milliseconds Backoff(int attempts) const;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RETRY_POLICY_H_
