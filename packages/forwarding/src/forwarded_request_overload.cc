// The part of a request that concerns demand beyond what the servers take.

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {

bool ForwardedRequest::AdmitUnderLoad() {
  return true;
}

}  // namespace vanillalever::forwarding
