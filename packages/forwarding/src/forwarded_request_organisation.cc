// The part of a request that concerns the organisation whose key a request
// carries.

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {

bool ForwardedRequest::IdentifyOrganisation() {
  return true;
}

int ForwardedRequest::priority() const {
  return organisation_ ? organisation_->priority.value_or(route_->priority)
                       : route_->priority;
}

}  // namespace vanillalever::forwarding
