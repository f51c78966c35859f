#ifndef VANILLALEVER_ENTRY_SRC_RELEASE_SERVICE_H_
#define VANILLALEVER_ENTRY_SRC_RELEASE_SERVICE_H_

#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "entry_context.h"

namespace vanillalever::entry {

// Sends cache release commands for ended programs, repeats them until every
// holder has confirmed, and then removes the programs from memory. Thread-safe.
class ReleaseService {
 public:
  explicit ReleaseService(EntryContext& context);

  // Sends pending commands. Called at intervals.
  void Step();

 private:
  void Release(const ShardPtr& shard,
               const program::ProgramId& id,
               const program::CacheHolder& holder);
  void Confirm(const ShardPtr& shard,
               const program::ProgramId& id,
               const program::CacheHolder& holder);

  EntryContext& context_;
  base::Counter& sent_;
  base::Counter& confirmed_;
  std::mutex mutex_;
  // Program and server of the commands in flight.
  std::set<std::pair<std::string, std::string>> in_flight_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_RELEASE_SERVICE_H_
