#include "vanillalever/forwarding/retry_policy.h"

namespace vanillalever::forwarding {
namespace {

// A stream goes on at the server that ran it this often.
constexpr int kMaxSameServerTries = 3;
// Pause before the second try at the same server; doubles with each further
// one. A server that restarts refuses connections within about this time.
constexpr base::milliseconds kSameServerPause{40};

}  // namespace

NextStep RetryPolicy::Decide(SendFailure failure,
                             const RetryState& state) const {
  if (failure == SendFailure::kNotSent || failure == SendFailure::kRefused)
    return NextStep::kTryElsewhere;
  bool repeatable = state.kind == RequestKind::kIdempotent ||
                    (state.kind == RequestKind::kStreaming && state.resumable);
  if (!repeatable)
    return NextStep::kGiveUp;
  if (state.server_gone || state.runs < state.max_servers)
    return NextStep::kTryElsewhere;
  if (state.kind == RequestKind::kStreaming &&
      state.same_server_tries < kMaxSameServerTries)
    return NextStep::kTrySameServer;
  return NextStep::kGiveUp;
}

base::milliseconds RetryPolicy::Pause(int tries) const {
  return tries <= 1 ? base::milliseconds(0)
                    : kSameServerPause * (1 << (tries - 2));
}

}  // namespace vanillalever::forwarding
