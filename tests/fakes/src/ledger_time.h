#ifndef VANILLALEVER_FAKES_LEDGER_TIME_H_
#define VANILLALEVER_FAKES_LEDGER_TIME_H_

#include <cstdint>

namespace vanillalever::fakes {

// Wall-clock time in microseconds since 1970. Orders the ledger
// entries of several test doubles on one machine.
std::int64_t LedgerTimeUs();

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_LEDGER_TIME_H_
