#include "vanillalever/forwarding/retry_policy.h"

namespace vanillalever::forwarding {
namespace {

constexpr int kMaxSameServerAttempts = 3;
// Delay before the second retry at the same server; doubles with each further
// one. A restarting server refuses connections within about this time.
constexpr base::milliseconds kInitialBackoff{40};

}  // namespace

RetryDecision RetryPolicy::Decide(SendFailure failure,
                                  const RetryState& state) const {
  if (failure == SendFailure::kNotSent || failure == SendFailure::kRefused)
    return RetryDecision::kRetryOtherServer;
  bool repeatable = state.kind == RequestKind::kIdempotent ||
                    (state.kind == RequestKind::kStreaming && state.resumable);
  if (!repeatable)
    return RetryDecision::kGiveUp;
  if (state.server_unavailable || state.possible_runs < state.max_servers)
    return RetryDecision::kRetryOtherServer;
  if (state.kind == RequestKind::kStreaming &&
      state.same_server_attempts < kMaxSameServerAttempts)
    return RetryDecision::kRetrySameServer;
  return RetryDecision::kGiveUp;
}

base::milliseconds RetryPolicy::Backoff(int attempts) const {
  return attempts <= 1 ? base::milliseconds(0)
                       : kInitialBackoff * (1 << (attempts - 2));
}

}  // namespace vanillalever::forwarding
