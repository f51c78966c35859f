#ifndef VANILLALEVER_ENTRY_SRC_ACKNOWLEDGER_H_
#define VANILLALEVER_ENTRY_SRC_ACKNOWLEDGER_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "server_directory.h"

namespace vanillalever::entry {

// Tells sidecars which results are durable, or no longer needed, until they
// confirm. Thread-safe.
class Acknowledger {
 public:
  explicit Acknowledger(ServerDirectory& servers) : servers_(servers) {}

  void Add(const std::string& address,
           const std::string& incarnation,
           const std::string& work_token);

  // Sends what is due. Called at intervals.
  void Flush();

 private:
  struct Pending {
    std::string incarnation;
    std::set<std::string> tokens;
    bool sending = false;
  };

  void Send(const std::string& address, const std::vector<std::string>& tokens);

  // A sidecar that stays unreachable must not fill the memory; its results are
  // dropped when their shard has a new owner.
  static constexpr std::size_t kMaxTokens = 8192;

  ServerDirectory& servers_;
  std::mutex mutex_;
  std::map<std::string, Pending> pending_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_ACKNOWLEDGER_H_
