// The part of a request that concerns the organisation whose key a request
// carries.

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {

bool ForwardedRequest::IdentifyOrganisation() {
  return true;
}

}  // namespace vanillalever::forwarding
