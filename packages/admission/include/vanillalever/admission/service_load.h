#ifndef VANILLALEVER_ADMISSION_SERVICE_LOAD_H_
#define VANILLALEVER_ADMISSION_SERVICE_LOAD_H_

#include "vanillalever/base/clock.h"

namespace vanillalever::admission {

// Load of all servers of one service, as one gateway estimates it.
struct ServiceLoad {
  // Requests that the servers run at once, of those that accept requests.
  int slots = 0;
  // Requests of all gateways that these servers run or queue.
  int open = 0;
};

// Expected wait for a slot, if the open requests are spread evenly.
// `service_time`: mean time that a request occupies a slot.
base::Duration ExpectedWait(const ServiceLoad& load,
                            base::Duration service_time);

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_SERVICE_LOAD_H_
