#ifndef VANILLALEVER_FORWARDING_GATEWAY_H_
#define VANILLALEVER_FORWARDING_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/forwarding_context.h"
#include "vanillalever/forwarding/memory_monitor.h"
#include "vanillalever/forwarding/turn_collector.h"

namespace vanillalever::forwarding {

// Settings of a gateway.
struct GatewaySettings {
  // Address for callers, "ip:port".
  std::string listen;
  std::string data_centre;
  PeerLinkSettings peers;
  // Time between SIGTERM and the forced termination of the process.
  base::milliseconds grace{8000};
  // Minimum time that a stopping process keeps accepting connections, so that
  // callers and the load balancer can notice that it is shutting down.
  base::milliseconds linger{3500};
  // Time before the forced termination at which requests still in progress are
  // ended with a response.
  base::milliseconds stop_margin{700};
  // Time before the forced termination at which the process ends, whatever is
  // still unsent.
  base::milliseconds exit_margin{200};
  // Maximum number of caller connections that are served.
  std::size_t max_sessions = 4000;
  // Further connections whose requests are rejected; beyond these, none are
  // accepted until others end.
  std::size_t max_rejected_sessions = 100;
  // Limit of a response that is relayed only when complete.
  std::size_t max_response_bytes = 16 << 20;
  PlacementSettings placement;
  ConnectionPoolSettings pool;
  RegistrySettings registry;
  BudgetSettings budget;
  ConversationSettings conversations;
  // Time within which a key that was taken away must have stopped working;
  // absent if there is no such bound.
  std::optional<base::milliseconds> key_revocation;
  // Time in which callers notice that a gateway is not ready.
  base::milliseconds readiness_notice{2000};
  memory::AccountSettings memory;
  rate::AllotmentSettings allotments;
};

// Forwards callers' requests to backend servers. Runs on one event loop; not
// thread-safe.
class Gateway final : public SessionDelegate, public PromptObserver {
 public:
  Gateway(boost::asio::io_context& io,
          GatewaySettings settings,
          const WireCodec& codec,
          SharedTable& table,
          base::CounterRegistry& counters,
          std::uint64_t seed);
  ~Gateway() override;

  // Starts accepting. Throws base::Error if the address cannot be bound.
  void Listen();

  // Applies a configuration unless it is older than the current one. Returns
  // whether this version is now applied.
  bool ApplyConfig(std::shared_ptr<const RouteConfig> config);

  // Source of the time as of which the applied configuration is known to be the
  // newest one.
  void SetConfigConfirmation(
      std::function<std::optional<base::BootTime>()> confirmed_at) {
    context_.config_confirmed_at = std::move(confirmed_at);
  }

  // Changes of the servers' registrations.
  void OnServerPut(BackendServer server);
  // `may_return`: the registration may have expired only because the store was
  // unavailable.
  void OnServerRemoved(const std::string& id, bool may_return);
  void OnServersListed(std::vector<BackendServer> servers);

  // Readiness for new callers: a configuration and the servers are known, keys
  // can be accepted, and the process is neither draining nor isolated.
  bool ready() const;

  // Reports whether the store has responded recently. Call periodically.
  void OnStoreState(bool connected) { store_connected_ = connected; }

  // Shuts down gracefully and calls `done` at the end.
  void Drain(std::function<void()> done);

  GatewayMetrics& metrics() { return metrics_; }
  StorePeers& store_peers() { return peers_; }

  std::shared_ptr<ActiveRequest> OnRequest(CallerRequest request,
                                           std::shared_ptr<ResponseSink> sink,
                                           SessionMode mode) override;
  void OnSessionEnded(CallerSession* session) override;
  const IngressLimits& ingress_limits() const override;
  bool closing() const override {
    return draining_ || isolated_ || !keys_accepted();
  }
  std::shared_ptr<memory::Account> memory() const override {
    return memory_.account();
  }
  void OnPeerPrompt(const ServerSlot& slot, const PromptChain& chain) override;

 private:
  void Accept();
  std::size_t connection_limit() const {
    return settings_.max_sessions + settings_.max_rejected_sessions;
  }
  void Tick();
  // Registers the server. Returns whether anything but its counts has changed.
  bool PutServer(BackendServer server);
  void CheckDrained();
  void StartSession(boost::asio::ip::tcp::socket socket);
  // Disconnects the caller beyond the limit of connections that has sent no
  // request for the longest time. Returns whether there was one.
  bool CloseOldestRejected();
  // Accepts the connections that callers have already established, and no more.
  void StopAccepting();
  std::vector<std::shared_ptr<CallerSession>> Sessions() const;
  // See TurnCollector::Responsible.
  std::optional<bool> ResponsibleFor(const std::string& task) const;
  void CheckIsolation();
  // Whether the configuration may be relied on for keys by callers that come
  // now.
  bool keys_accepted() const;
  void CheckKeys();

  GatewaySettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer accept_timer_;
  GatewayMetrics metrics_;
  MemoryMonitor memory_;
  base::Random random_;
  ServerRegistry registry_;
  Placer placer_;
  ServerConnectionPool pool_;
  PeerLink peers_;
  AsioLoopTimer loop_timer_;
  BudgetService budgets_;
  ConversationService conversations_;
  TurnCollector turn_collector_;
  StreamOrigins origins_;
  CrashMonitor crashes_;
  AllotmentService allotments_;
  admission::AdmissionControl admission_;
  ForwardingContext context_;
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> sessions_;
  // Sessions that only reject requests, in the order of their start.
  std::vector<CallerSession*> rejected_;
  // No connection is accepted until a session ends.
  bool accept_paused_ = false;
  // Since when the connections have reached their limit; absent below it.
  std::optional<base::TimePoint> full_since_;
  bool servers_known_ = false;
  bool draining_ = false;
  base::TimePoint drain_started_{};
  // The requests that were still in progress have been ended.
  bool requests_ended_ = false;
  base::TimePoint last_cleanup_{};
  bool store_connected_ = false;
  // Neither the store nor most other gateways are reachable, so that callers
  // should use another gateway.
  bool isolated_ = false;
  // Result of keys_accepted() when it was last logged.
  bool keys_accepted_ = true;
  std::function<void()> on_drained_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_GATEWAY_H_
