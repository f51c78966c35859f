#ifndef VANILLALEVER_ENTRY_SRC_STRIKE_SERVICE_H_
#define VANILLALEVER_ENTRY_SRC_STRIKE_SERVICE_H_

#include <atomic>
#include <optional>

#include "vanillalever/base/counters.h"
#include "vanillalever/guard/strike_table.h"
#include "vanillalever/platform/reliable_commit.h"

namespace vanillalever::entry {

// Synchronises a StrikeTable with the strike rows in the platform store.
class StrikeService {
 public:
  StrikeService(platform::PlatformStore& store,
                base::CounterRegistry& counters);

  guard::StrikeTable& table() { return table_; }

  // Writes pending changes and, at intervals, reads all rows. Blocks. Must
  // always run on the same thread.
  void Step();
  // Ends a step that is waiting for the platform.
  void Stop() { stopping_ = true; }

 private:
  void WriteChange(const guard::StrikeChange& change);
  std::optional<guard::StrikeRow> ReadBack(const std::string& key);
  void ReadAll();

  platform::PlatformStore& store_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  guard::StrikeTable table_;
  base::Counter& strike_records_;
  base::Counter& quarantined_requests_;
  base::TimePoint last_read_;
  std::atomic<bool> stopping_ = false;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_STRIKE_SERVICE_H_
