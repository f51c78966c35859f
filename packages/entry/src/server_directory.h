#ifndef VANILLALEVER_ENTRY_SRC_SERVER_DIRECTORY_H_
#define VANILLALEVER_ENTRY_SRC_SERVER_DIRECTORY_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config_service.h"
#include "vanillalever/base/random.h"
#include "vanillalever/membership/instance_view.h"
#include "vanillalever/membership/subset_picker.h"
#include "vanillalever/platform/platform_store.h"
#include "vanillalever/protocol/node_client.h"
#include "vanillalever/scheduling/cache_index.h"
#include "vanillalever/scheduling/length_estimator.h"
#include "vanillalever/scheduling/load_table.h"
#include "vanillalever/scheduling/retry_budget.h"
#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::entry {

// State of a sidecar, with its load reports.
struct Server {
  std::string address;
  std::string pool;
  // Slot in the pool's LoadTable.
  scheduling::ServerIndex index = 0;
  std::shared_ptr<protocol::NodeClient> client;
  // Latest report, the time of its request and the time of its arrival.
  protocol::LoadReport report;
  base::TimePoint report_requested_at;
  base::TimePoint report_received_at;
  bool report_pending = false;
  bool in_use = false;
};

// Server selected for an attempt.
struct ServerChoice {
  std::string address;
  std::string incarnation;
  scheduling::ServerIndex index = 0;
  std::shared_ptr<protocol::NodeClient> client;
  // Expected queueing time before the call starts.
  base::Duration expected_wait{0};
};

// Criteria for selecting a server.
struct ServerQuery {
  std::string pool;
  std::string program;
  double prompt_tokens = 0;
  double output_tokens = 0;
  // Addresses at which an attempt of this call already failed.
  std::vector<std::string> excluded;
  // Address of the only server that may run the call; empty for any.
  std::string required_server;
};

// Tracks backend servers: instances, load reports, cache contents, and the
// retry budget of each pool. Thread-safe.
class ServerDirectory {
 public:
  ServerDirectory(protocol::RpcLoop& loop,
                  std::string shared_key,
                  std::string data_centre,
                  std::size_t subset_size,
                  ConfigService& config,
                  base::CounterRegistry& counters);

  // Reads the platform's instance list. Blocks.
  void ReadInstances(platform::PlatformStore& store);
  // Updates the set of sidecars in use from the configuration and the instance
  // list. `self` and `entries` determine this entry's subset.
  void Refresh(const std::string& self,
               const std::vector<membership::PeerLocation>& entries);
  // Requests a load report from every sidecar in use, and sends the
  // configuration to sidecars with an older version.
  void ExchangeReports(base::Duration timeout);

  // Selects a server; nullopt if none accepts the call.
  std::optional<ServerChoice> Choose(const ServerQuery& query);
  // Client for a sidecar, which may be outside the subset.
  std::shared_ptr<protocol::NodeClient> ClientFor(const std::string& address);
  // Whether this incarnation of the sidecar has certainly ended.
  bool HasEnded(const std::string& address,
                const std::string& incarnation) const;

  // Feedback from attempts.
  void OnSend(const ServerQuery& query, const ServerChoice& choice);
  void OnEnd(const std::string& pool, const ServerChoice& choice);
  void OnResult(const ServerQuery& query,
                const ServerChoice& choice,
                double cached_tokens);
  void OnOutputLength(int program_class, double tokens);
  double ExpectedOutputLength(int program_class) const;
  void EndProgram(const std::string& program);
  // Records that a server refused a call because it is leaving.
  void MarkLeaving(const std::string& address);

  // Delay before a retry, or nullopt if the pool's retry budget is exhausted.
  std::optional<base::Duration> TryRetry(const std::string& pool,
                                         base::TimePoint deadline,
                                         int attempt);
  void OnSuccess(const std::string& pool);

  // Copies of the servers in use, for status output.
  std::vector<Server> servers() const;
  membership::InstanceState state(const std::string& address) const;

  // Destroys all clients; outstanding requests end with an error.
  void Stop();

 private:
  // Slots in a pool's LoadTable; further servers of the pool are not used.
  static constexpr std::size_t kMaxServersPerPool = 256;

  struct Pool {
    explicit Pool(base::TimePoint now) : load(kMaxServersPerPool, now) {}
    scheduling::LoadTable load;
    scheduling::CacheIndex cache;
    std::unique_ptr<scheduling::ServerPicker> picker;
    scheduling::RetryBudget retry_budget;
    // Server addresses by slot; a slot is never reassigned.
    std::vector<std::string> slots;
  };

  Pool& FindOrCreatePool(const std::string& name);
  void AddServer(const std::string& address,
                 const std::string& pool,
                 const std::string& data_centre);
  void OnReport(const std::string& address,
                base::TimePoint sent,
                protocol::Outcome<protocol::LoadReport> outcome);
  void PushConfig(const Server& server);

  protocol::RpcLoop& loop_;
  const std::string shared_key_;
  const std::string data_centre_;
  ConfigService& config_;
  base::SteadyClock clock_;
  membership::SubsetPicker subset_picker_;
  base::Counter& reports_;
  base::Counter& report_failures_;
  base::Counter& servers_gauge_;

  mutable std::mutex mutex_;
  bool stopped_ = false;
  membership::InstanceView instance_view_;
  // Instances by address, with the time of the last list that contained them.
  // Kept for kUnlistedRetention, because a list can be incomplete.
  struct KnownInstance {
    membership::ListedInstance instance;
    base::TimePoint last_listed;
  };
  std::map<std::string, KnownInstance> instances_;
  std::map<std::string, Server> servers_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  scheduling::LengthEstimator output_lengths_;
  base::Random random_;
  // Clients for addresses outside the subset.
  std::map<std::string, std::shared_ptr<protocol::NodeClient>> other_clients_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_SERVER_DIRECTORY_H_
