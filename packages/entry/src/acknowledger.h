#ifndef VANILLALEVER_ENTRY_SRC_ACKNOWLEDGER_H_
#define VANILLALEVER_ENTRY_SRC_ACKNOWLEDGER_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "server_directory.h"

namespace vanillalever::entry {

// Acknowledges results to sidecars once they are durable or no longer needed,
// and repeats each acknowledgement until it is confirmed. Thread-safe.
class Acknowledger {
 public:
  explicit Acknowledger(ServerDirectory& servers) : servers_(servers) {}

  void Add(const std::string& address,
           const std::string& incarnation,
           const std::string& work_token);

  // Sends pending acknowledgements. Called at intervals.
  void Flush();

 private:
  struct Pending {
    std::string incarnation;
    std::set<std::string> tokens;
    bool request_in_flight = false;
  };

  void Send(const std::string& address, const std::vector<std::string>& tokens);

  // Bounds the memory used for an unreachable sidecar; it drops unacknowledged
  // results when their shard has a new owner.
  static constexpr std::size_t kMaxPendingTokens = 8192;

  ServerDirectory& servers_;
  std::mutex mutex_;
  std::map<std::string, Pending> pending_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_ACKNOWLEDGER_H_
