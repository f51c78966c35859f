#ifndef VANILLALEVER_CONVERSATION_SRC_RETENTION_MS_H_
#define VANILLALEVER_CONVERSATION_SRC_RETENTION_MS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "vanillalever/base/clock.h"

namespace vanillalever::conversation {

// Retention time of a record, in milliseconds. Longer ones than a year were not
// written by this project.
inline base::Duration ParseRetention(std::uint64_t ms) {
  constexpr base::milliseconds kMaxRetention = std::chrono::hours(24 * 365);
  auto most = static_cast<std::uint64_t>(kMaxRetention.count());
  return base::milliseconds(std::min(ms, most));
}

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_SRC_RETENTION_MS_H_
