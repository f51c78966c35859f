// The part of a request that concerns the allotment of its organisation.

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {

bool ForwardedRequest::TakeAllotment() {
  return true;
}

}  // namespace vanillalever::forwarding
