#include "ledger_time.h"

#include <chrono>

namespace vanillalever::fakes {

std::int64_t LedgerTimeUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace vanillalever::fakes
