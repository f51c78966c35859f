#ifndef VANILLALEVER_FORWARDING_PEER_LINK_H_
#define VANILLALEVER_FORWARDING_PEER_LINK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "peer.capnp.h"

#include "vanillalever/forwarding/allotment_peers.h"
#include "vanillalever/forwarding/budget_peers.h"
#include "vanillalever/forwarding/load_update.h"
#include "vanillalever/forwarding/peer_directory.h"
#include "vanillalever/forwarding/prompt_observer.h"
#include "vanillalever/forwarding/relayed_table.h"
#include "vanillalever/forwarding/server_registry.h"
#include "vanillalever/forwarding/shared_table.h"
#include "vanillalever/forwarding/store_view.h"
#include "vanillalever/forwarding/strike_peers.h"

namespace vanillalever::forwarding {

// Settings of PeerLink.
struct PeerLinkSettings {
  // Address "ip:port" of this gateway for datagrams.
  std::string address;
  // CPU share of this gateway's machine.
  int cpu_millicores = 0;
  // Load changes are batched for at least this long.
  base::milliseconds batch_delay{20};
  // Limit for one gateway that relays the changes of all: with very many
  // gateways the batch delay grows.
  double max_datagrams_per_second = 1500;
  // With more peers than this, changes are sent through the gateway on the
  // strongest machine: direct messages grow with the square of their number.
  std::size_t max_direct_peers = 10;
  // Interval of complete load messages, which repair the effect of lost ones.
  base::milliseconds full_update_interval{300};
  // Interval at which the list of gateways is read from the store.
  base::milliseconds list_interval{10000};
  // The same until the first listing has succeeded.
  base::milliseconds first_list_interval{500};
};

// Exchanges load, prompts and budget messages with the other gateways, by
// datagrams. Gateways find each other by rows of the shared table. A lost load
// message only delays the update. Event loop's thread only.
class PeerLink final : public BudgetPeers,
                       public StorePeers,
                       public StoreView,
                       public StrikePeers,
                       public AllotmentPeers {
 public:
  PeerLink(boost::asio::io_context& context,
           PeerLinkSettings settings,
           SharedTable& table,
           ServerRegistry& registry,
           std::uint64_t seed);

  // Call before Start().
  void SetBudgetHandler(BudgetHandler& handler) { budgets_ = &handler; }
  void SetStrikeHandler(StrikeHandler& handler) { strikes_ = &handler; }
  void SetAllotmentHandler(AllotmentHandler& handler) {
    allotments_ = &handler;
  }

  RunId run() const override { return id_; }
  PreviousExit previous_exit() const override { return previous_exit_; }
  std::size_t Reclaim(const ReclaimRequest& request) override;
  void Announce(const RowNotice& notice,
                const std::vector<RunId>& runs) override;
  bool HandOver(const TokenTransfer& transfer) override;
  std::vector<RunId> Ranked(const std::string& program) const override;
  bool silent(RunId run) const override {
    return directory_.Silent(run, base::TimePoint::clock::now());
  }
  bool complete(base::TimePoint listed_at) const override {
    return directory_.Complete(listed_at, base::TimePoint::clock::now());
  }
  bool all_heard() const override {
    return directory_.AllHeard(base::TimePoint::clock::now());
  }
  bool reaches_store() const override { return reaches_store_; }
  bool store_lost() const override {
    return !reaches_store_ && directory_.store_addresses().empty();
  }
  bool reached_by_silent_peer() const override {
    return !reaches_store_ && directory_.ReachedBySilent(store_lost_at_);
  }

  std::vector<std::string> StoreAddresses() const override {
    return directory_.store_addresses();
  }
  void SetStoreReachable(bool reachable) override;
  // Whether this gateway is the first by rendezvous hashing of the task among
  // the live ones that reach the store; nothing if none reaches it. During
  // changes none or several may be.
  std::optional<bool> LeadsAtStore(const std::string& task) const;

  void SendStrikes(const std::vector<StrikeReport>& reports) override;

  void OnAllotmentsChanged() override { ScheduleSend(); }
  rate::GatewayReach Reach(base::Duration silence,
                           base::TimePoint now) const override;

  // Binds the address. Throws base::Error when it cannot be bound.
  void Start();

  // Call before Start().
  void SetPromptObserver(PromptObserver& observer) { prompts_ = &observer; }

  // A prompt was sent to the server.
  void OnPromptSent(const ServerSlot& slot, const PromptChain& chain);
  // This gateway's load at the server has changed.
  void OnLoadChanged(const ServerSlot& slot);
  // This gateway's load at the server has changed in a way that the others
  // should know before their next send; announced at once.
  void AnnounceLoad(const ServerSlot& slot);
  // A request ended at the server.
  void OnOutcome(const ServerSlot& slot, bool failed);
  // The server has just reported its slowness.
  void OnSlowness(const ServerSlot& slot, double slowness);
  // Expected age of what the other gateways have announced when it arrives.
  base::Duration news_age() const;

  // Removes this gateway's registration.
  void Unregister();

  std::size_t live() const override { return directory_.live(); }
  // Updates how the gateways share the rates that servers state.
  void ShareRates();
  // Whether this gateway may be partitioned; see PeerDirectory::InMinority().
  bool in_minority() const override {
    return directory_.InMinority(base::TimePoint::clock::now());
  }

 private:
  void Register();
  void List();
  void OnListed(const ReadResult& result);
  void Receive();
  void OnDatagram(std::size_t size);
  void ScheduleSend();
  base::Duration BatchDelay() const;
  // Messages with this gateway's load at `slots` and its use of allotments.
  std::vector<std::string> PackLoad(const std::vector<ServerSlotPtr>& slots,
                                    std::vector<OriginUse> uses,
                                    bool complete);
  // Sends this gateway's whole load to all gateways.
  void SendFullLoad();
  // Sends the load changes since the last message.
  void SendLoadChanges();
  // Sends the collected changes of all gateways, as their relay.
  void SendRelayed();
  // Sends this gateway's prompts since the last message.
  void SendPrompts();
  // Passes a prompt of another gateway to the observer.
  void ApplyPrompt(const protocol::peer::Prompt::Reader& prompt);
  // Address of the gateway that relays changes; empty if they are sent
  // directly.
  std::string RelayAddress() const;
  // Applies `origin`'s load at one server.
  void ApplyLoad(PeerId origin,
                 const protocol::peer::ServerLoad::Reader& reported,
                 base::TimePoint now);
  void Tick();
  // Begins a message with its sender and the next sequence number.
  protocol::peer::Message::Builder StartMessage(capnp::MessageBuilder& builder);
  std::string PackTransfer(const TokenTransfer& transfer);
  void OnBudgetMessage(const protocol::peer::Message::Reader& message);
  void OnStrikes(const protocol::peer::Message::Reader& message);
  void OnAllotments(const protocol::peer::Message::Reader& message,
                    bool relays);
  // This gateway's own uses.
  static std::vector<OriginUse> OwnUses(
      const std::vector<rate::AllotmentUse>& uses);
  std::vector<OriginUse> TakeRelayedUses();
  static std::string AddressText(
      const boost::asio::ip::udp::endpoint& endpoint);
  void SendTo(const std::string& address, const std::string& datagram);
  void SendToEach(const std::vector<std::string>& addresses,
                  const std::string& datagram);

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer send_timer_;
  boost::asio::steady_timer tick_timer_;
  PeerLinkSettings settings_;
  SharedTable& table_;
  ServerRegistry& registry_;
  PeerDirectory directory_;
  BudgetHandler* budgets_ = nullptr;
  StrikeHandler* strikes_ = nullptr;
  AllotmentHandler* allotments_ = nullptr;
  PromptObserver* prompts_ = nullptr;
  const PeerId id_;
  std::uint64_t sequence_ = 0;
  bool reaches_store_ = true;
  // When the store last became unreachable for this gateway.
  base::TimePoint store_lost_at_{};
  // Servers whose load has changed since the last message.
  std::set<std::string> changed_servers_;
  // This gateway's load at the server.
  LoadUpdate LocalLoad(const ServerSlot& slot, base::TimePoint now) const;
  // Loads to relay, by origin and hash of the server's id.
  std::map<std::pair<PeerId, std::uint64_t>, LoadUpdate> relayed_loads_;
  // Uses of allotments to relay, by origin and hash of the organisation's name.
  std::map<std::pair<PeerId, std::uint32_t>, rate::AllotmentUse> relayed_uses_;
  // A prompt and the hash of the id of the server that processes it.
  struct PromptUpdate {
    std::uint64_t server = 0;
    PromptChain chain;
  };
  // Number of the first of `prompts` that fit into one message.
  static std::size_t CountFittingPrompts(
      const std::vector<PromptUpdate>& prompts);
  // Moves the first prompts of `from` into the message's `to`.
  static void PackPrompts(std::vector<PromptUpdate>& from,
                          capnp::List<protocol::peer::Prompt>::Builder to);
  // This gateway's prompts that are still to be sent.
  std::vector<PromptUpdate> unsent_prompts_;
  // Prompts of all gateways to relay.
  std::vector<PromptUpdate> relayed_prompts_;
  // Slowness in percent, as reported since the last message.
  std::map<std::string, std::uint16_t> slowness_;
  // Outcomes of this gateway's requests since the last message.
  std::map<std::string, RequestOutcomes> outcomes_;
  bool send_scheduled_ = false;
  PreviousExit previous_exit_ = PreviousExit::kUnknown;
  bool listed_ = false;
  base::TimePoint next_list_{};
  std::array<char, 2048> datagram_{};
  boost::asio::ip::udp::endpoint sender_endpoint_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PEER_LINK_H_
