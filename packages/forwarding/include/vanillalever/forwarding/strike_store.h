#ifndef VANILLALEVER_FORWARDING_STRIKE_STORE_H_
#define VANILLALEVER_FORWARDING_STRIKE_STORE_H_

#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/shared_table.h"
#include "vanillalever/guard/strike_table.h"

namespace vanillalever::forwarding {

// Keeps the rows of a StrikeTable in the shared table, so that they outlive all
// gateways. Event loop's thread only.
class StrikeStore {
 public:
  StrikeStore(SharedTable& shared, guard::StrikeTable& strikes)
      : shared_(shared), strikes_(strikes) {}

  // Writes pending changes unless a write is in progress.
  void Flush();
  // Repeats failed writes and reads the rows from time to time. Call several
  // times a second.
  void Tick();

 private:
  void OnWritten(const std::vector<guard::StrikeChange>& changes,
                 const TransactionResult& result);
  void List();

  SharedTable& shared_;
  guard::StrikeTable& strikes_;
  bool writing_ = false;
  base::TimePoint next_write_{};
  base::TimePoint next_list_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STRIKE_STORE_H_
