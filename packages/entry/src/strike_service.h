#ifndef VANILLALEVER_ENTRY_SRC_STRIKE_SERVICE_H_
#define VANILLALEVER_ENTRY_SRC_STRIKE_SERVICE_H_

#include <atomic>
#include <optional>

#include "vanillalever/base/counters.h"
#include "vanillalever/guard/strike_table.h"
#include "vanillalever/platform/reliable_commit.h"

namespace vanillalever::entry {

// Keeps a StrikeTable in step with the platform's table.
class StrikeService {
 public:
  StrikeService(platform::PlatformStore& store,
                base::CounterRegistry& counters);

  guard::StrikeTable& table() { return table_; }

  // Writes changes and, now and then, reads all rows. Blocks; runs on one
  // thread.
  void Step();
  // Ends a step that waits for the platform.
  void Stop() { stopping_ = true; }

 private:
  void WriteChange(const guard::StrikeChange& change);
  std::optional<guard::StrikeRow> ReadBack(const std::string& key);
  void ReadAll();

  platform::PlatformStore& store_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  guard::StrikeTable table_;
  base::Counter& suspects_;
  base::Counter& quarantined_;
  base::TimePoint last_read_;
  std::atomic<bool> stopping_ = false;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_STRIKE_SERVICE_H_
