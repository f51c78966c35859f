#ifndef VANILLALEVER_ADMISSION_SERVICE_TIMES_H_
#define VANILLALEVER_ADMISSION_SERVICE_TIMES_H_

#include <map>
#include <string>
#include <string_view>

#include "vanillalever/base/clock.h"

namespace vanillalever::admission {

// Mean time that a request occupies a slot, by service, learned from completed
// requests. Not thread-safe.
class ServiceTimes {
 public:
  // A request ended whole `duration` after it was sent to a server of `slots`
  // slots at which `open` other requests were open.
  void Record(std::string_view service,
              base::Duration duration,
              int open,
              int slots);

  // Zero until a request to the service has been completed.
  base::Duration mean(std::string_view service) const;

 private:
  std::map<std::string, double, std::less<>> mean_seconds_;
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_SERVICE_TIMES_H_
