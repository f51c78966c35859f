// The part of a request that concerns the allotment of its organisation.

#include <utility>

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {

bool ForwardedRequest::TakeAllotment() {
  if (organisation_ == nullptr)
    return true;
  if (auto retry_after = context_.allotments.Take(*organisation_)) {
    context_.metrics.refused.Add();
    SendLocalReply(429, "the organisation's allotment is used up", retry_after);
    return false;
  }
  counted_ = organisation_->rate_per_second > 0;
  return true;
}

void ForwardedRequest::ReturnAllotment() {
  if (std::exchange(counted_, false))
    context_.allotments.Return(organisation_->name);
}

}  // namespace vanillalever::forwarding
