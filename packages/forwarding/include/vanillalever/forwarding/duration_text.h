#ifndef VANILLALEVER_FORWARDING_DURATION_TEXT_H_
#define VANILLALEVER_FORWARDING_DURATION_TEXT_H_

#include <chrono>
#include <string>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Whole milliseconds, for log lines.
inline std::string Ms(base::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<base::milliseconds>(duration).count());
}

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_DURATION_TEXT_H_
