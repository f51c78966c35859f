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

// A sidecar that this entry exchanges reports with.
struct Server {
  std::string address;
  std::string pool;
  // Position in the pool's LoadTable.
  scheduling::ServerIndex index = 0;
  std::shared_ptr<protocol::NodeClient> client;
  // Latest report, when it was asked for, and when it arrived.
  protocol::LoadReport report;
  base::TimePoint report_sent;
  base::TimePoint report_arrived;
  bool report_pending = false;
  bool in_use = false;
};

// Server chosen for an attempt.
struct ServerChoice {
  std::string address;
  std::string incarnation;
  scheduling::ServerIndex index = 0;
  std::shared_ptr<protocol::NodeClient> client;
  // Wait expected before the call starts.
  base::Duration expected_wait{0};
};

// Request to choose a server.
struct ServerQuery {
  std::string pool;
  std::string program;
  double prompt_tokens = 0;
  double output_tokens = 0;
  // Addresses that already failed this call.
  std::vector<std::string> excluded;
  // The only server that may run the call; empty for any.
  std::string only;
};

// Everything an entry knows about backend servers: instances, load reports,
// held cache, and the retry budget of each pool. Thread-safe.
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
  // Adapts the set of sidecars to configuration and instances. `self` and
  // `entries` determine the subset.
  void Refresh(const std::string& self,
               const std::vector<membership::PlacedPeer>& entries);
  // Asks every sidecar for its load and hands out the configuration.
  void ExchangeReports(base::Duration timeout);

  // Chooses a server; nothing when none may receive the call.
  std::optional<ServerChoice> Choose(const ServerQuery& query);
  // Client for a sidecar that may have left the subset.
  std::shared_ptr<protocol::NodeClient> Client(const std::string& address);
  // Whether that run of a sidecar has ended for certain.
  bool Gone(const std::string& address, const std::string& incarnation) const;

  // Feedback about attempts.
  void OnSend(const ServerQuery& query, const ServerChoice& choice);
  void OnEnd(const std::string& pool, const ServerChoice& choice);
  void OnResult(const ServerQuery& query,
                const ServerChoice& choice,
                double cached_tokens);
  void OnLength(int program_class, double tokens);
  double ExpectedLength(int program_class) const;
  void EndProgram(const std::string& program);
  // A server refused a call because it is leaving.
  void MarkLeaving(const std::string& address);

  // Delay before a retry, or nothing when the pool's budget is used up.
  std::optional<base::Duration> TryRetry(const std::string& pool,
                                         base::TimePoint deadline,
                                         int attempt);
  void OnSuccess(const std::string& pool);

  // Copies of all servers, for the status.
  std::vector<Server> servers() const;
  membership::InstanceState state(const std::string& address) const;

  // Drops all clients; outstanding messages end with an error.
  void Stop();

 private:
  // Slots of a pool's LoadTable; more servers of one pool are not used.
  static constexpr std::size_t kPoolSlots = 256;

  struct Pool {
    explicit Pool(base::TimePoint now) : load(kPoolSlots, now) {}
    scheduling::LoadTable load;
    scheduling::CacheIndex cache;
    std::unique_ptr<scheduling::ServerPicker> picker;
    scheduling::RetryBudget retries;
    // Servers by slot; a slot keeps its address for ever.
    std::vector<std::string> slots;
  };

  Pool& PoolOf(const std::string& name);
  void Use(const std::string& address,
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
  membership::SubsetPicker subset_;
  base::Counter& reports_;
  base::Counter& report_failures_;
  base::Counter& servers_gauge_;

  mutable std::mutex mutex_;
  bool stopped_ = false;
  membership::InstanceView view_;
  // Instances by address, and when a list last named them. Kept for a while
  // after a list with gaps left them out.
  struct Listed {
    membership::ListedInstance instance;
    base::TimePoint seen;
  };
  std::map<std::string, Listed> listed_;
  std::map<std::string, Server> servers_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  scheduling::LengthEstimator lengths_;
  base::Random random_;
  // Clients for addresses outside the subset.
  std::map<std::string, std::shared_ptr<protocol::NodeClient>> other_clients_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_SERVER_DIRECTORY_H_
