#ifndef VANILLALEVER_FORWARDING_RETRY_POLICY_H_
#define VANILLALEVER_FORWARDING_RETRY_POLICY_H_

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/forwarding/route_config.h"

namespace vanillalever::forwarding {

// How one send to a server failed.
enum class SendFailure {
  kNotSent,   // no byte of the request left this process
  kRefused,   // the server states that it did not run the request
  kNoAnswer,  // sent, and no usable answer: it may have run
  kBroken,    // the answer broke off
};

inline constexpr base::NameTable<SendFailure, 4> kSendFailureNames({
    "not_sent",
    "refused",
    "no_answer",
    "broken",
});

// What to do after a failed send.
enum class NextStep {
  kTryElsewhere,   // place the request again, without the failed server
  kTrySameServer,  // go on at the server that ran it
  kGiveUp,         // answer that the outcome is unknown, or break the stream
};

// State of a request at the time of the failure.
struct RetryState {
  RequestKind kind = RequestKind::kNonIdempotent;
  // The stream may be resumed.
  bool resumable = false;
  // Sends after which a server may have run the request.
  int runs = 0;
  // Most servers that may run it.
  int max_servers = 1;
  // The failed server has ended, as far as this process can tell.
  bool server_gone = false;
  // Times that the request went on at the server that had run it.
  int same_server_tries = 0;
};

// What a request's kind allows after a failed send. Pure decision.
class RetryPolicy {
 public:
  NextStep Decide(SendFailure failure, const RetryState& state) const;
  // Pause before the `tries`-th try at the same server.
  base::milliseconds Pause(int tries) const;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RETRY_POLICY_H_
