#ifndef VANILLALEVER_FORWARDING_GATEWAY_H_
#define VANILLALEVER_FORWARDING_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/forwarding_context.h"

namespace vanillalever::forwarding {

// Settings of a gateway.
struct GatewaySettings {
  // Address "ip:port" for callers.
  std::string listen;
  std::string data_centre;
  PeerLinkSettings peers;
  // Time between SIGTERM and the forced end of the process.
  base::milliseconds grace{8000};
  // Time for which a stopping process goes on although nothing is in progress:
  // callers and the load balancer notice within this time that it leaves.
  base::milliseconds linger{3500};
  // Time before the forced end at which remaining connections are closed.
  base::milliseconds stop_margin{700};
  // Connections of callers at a time; further ones are closed at once.
  std::size_t max_sessions = 4000;
  PlacementSettings placement;
  PoolSettings pool;
  RegistrySettings registry;
  BudgetSettings budget;
};

// Forwards callers' requests to backend servers. Runs on one event loop; all
// calls on its thread.
class Gateway final : public SessionOwner, public PromptObserver {
 public:
  Gateway(boost::asio::io_context& io,
          GatewaySettings settings,
          const WireCodec& codec,
          SharedTable& table,
          base::CounterRegistry& counters,
          std::uint64_t seed);
  ~Gateway() override;

  // Binds and accepts. Throws base::Error when the address cannot be bound.
  void Listen();

  // Puts a configuration in force unless it is older than the present one.
  // Returns whether it is in force now.
  bool ApplyConfig(std::shared_ptr<const RouteConfig> config);

  // Changes of the servers' registrations.
  void OnServerPut(BackendServer server);
  // `may_return`: the entry may have lapsed while the store was away.
  void OnServerRemoved(const std::string& id, bool may_return);
  void OnServersListed(std::vector<BackendServer> servers);

  // Whether new callers should come: a configuration and servers are known, and
  // the process is neither stopping nor cut off.
  bool ready() const;

  // Whether the store has answered lately. Call it when that changes, or often.
  void OnStoreState(bool connected) { store_connected_ = connected; }

  // Stops gracefully and calls `done` when nothing is left.
  void Drain(std::function<void()> done);

  GatewayMetrics& metrics() { return metrics_; }

  std::shared_ptr<RequestInProgress> OnRequest(
      CallerRequest request,
      std::shared_ptr<ResponseSink> sink) override;
  void OnSessionEnded(CallerSession* session) override;
  const IngressLimits& ingress_limits() const override;
  bool closing() const override { return draining_ || cut_off_; }
  void OnPeerPrompt(const ServerSlot& slot, const PromptChain& chain) override;

 private:
  void Accept();
  void Tick();
  void CheckDrained();
  void CheckCutOff();
  // Tells the budgets when advances may have been lost.
  void CheckAdvances();

  GatewaySettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer accept_timer_;
  GatewayMetrics metrics_;
  base::Random random_;
  ServerRegistry registry_;
  Placer placer_;
  ServerPool pool_;
  PeerLink peers_;
  BudgetService budgets_;
  ForwardingContext context_;
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> sessions_;
  bool servers_known_ = false;
  bool draining_ = false;
  base::TimePoint drain_started_{};
  base::TimePoint last_sweep_{};
  std::uint64_t peers_lost_ = 0;
  bool start_known_ = false;
  bool store_connected_ = false;
  // Neither the store nor most of the other gateways can be reached: callers
  // are better served elsewhere.
  bool cut_off_ = false;
  std::function<void()> on_drained_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_GATEWAY_H_
