#include "vanillalever/admission/service_load.h"

namespace vanillalever::admission {

base::Duration ExpectedWait(const ServiceLoad& load,
                            base::Duration service_time) {
  if (load.slots <= 0 || load.open < load.slots)
    return base::Duration(0);
  double rounds = static_cast<double>(load.open + 1 - load.slots) / load.slots;
  return std::chrono::duration_cast<base::Duration>(rounds * service_time);
}

}  // namespace vanillalever::admission
