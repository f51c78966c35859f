#ifndef VANILLALEVER_FORWARDING_PEER_LINK_H_
#define VANILLALEVER_FORWARDING_PEER_LINK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "peer.capnp.h"

#include "vanillalever/forwarding/budget_peers.h"
#include "vanillalever/forwarding/peer_directory.h"
#include "vanillalever/forwarding/prompt_observer.h"
#include "vanillalever/forwarding/server_registry.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Settings of PeerLink.
struct PeerLinkSettings {
  // Own address "ip:port" for datagrams.
  std::string address;
  // Processor share of the own machine, in thousandths of a core.
  int cpu_millicores = 0;
  // Changes of the load wait at least this long for further ones.
  base::milliseconds window{20};
  // Most datagrams a second with which one gateway passes on the changes of
  // all: with very many gateways changes wait longer.
  double datagrams_per_second = 1500;
  // With more peers than this, changes go through the gateway on the strongest
  // machine: telling each other directly costs the square of their number.
  std::size_t direct_peers = 10;
  // Interval of complete messages, which repair what lost ones left out.
  base::milliseconds interval{300};
  // Interval at which the list of gateways is read from the store.
  base::milliseconds list_interval{10000};
  // As above until the first listing has succeeded.
  base::milliseconds first_list_interval{500};
};

// What is known of the end of this gateway's previous run.
enum class PreviousExit {
  kUnknown,  // the store has not answered yet
  kClean,    // there was none, or it stopped by itself
  kFailure,  // it was killed or lost its power
};

// Tells the other gateways what this one has open at the servers, and hears the
// same from them. Gateways find one another by rows of the shared table. Lost
// messages only make the view of the load older. Event loop's thread only.
class PeerLink final : public BudgetPeers {
 public:
  PeerLink(boost::asio::io_context& context,
           PeerLinkSettings settings,
           SharedTable& table,
           ServerRegistry& registry,
           std::uint64_t seed);

  // Call before Start().
  void SetBudgetHandler(BudgetHandler& handler) { budgets_ = &handler; }

  BudgetHome Ask(const BudgetAsk& ask) override;
  bool CallIn(const BudgetCallIn& call) override;

  // Binds the address. Throws base::Error when it cannot be bound.
  void Start();

  // Call before Start().
  void SetPromptObserver(PromptObserver& observer) { prompts_ = &observer; }

  // A prompt was sent to the server.
  void OnPromptSent(const ServerSlot& slot, const PromptChain& chain);
  // The own load of the server has changed.
  void OnLoadChanged(const ServerSlot& slot);
  // A request ended at the server.
  void OnOutcome(const ServerSlot& slot, bool failed);
  // The server has just reported its slowness.
  void OnSlowness(const ServerSlot& slot, double slowness);

  // Removes the own registration.
  void Unregister();

  PreviousExit previous_exit() const { return previous_exit_; }
  // Whether this gateway hears less than half of those that it heard lately,
  // itself included.
  bool in_minority() const {
    return directory_.InMinority(base::TimePoint::clock::now());
  }
  // Runs of other gateways that ended or fell silent so far.
  std::uint64_t peers_lost() const { return peers_lost_; }

 private:
  void Register();
  void List();
  void OnListed(const ReadResult& result);
  void Receive();
  void OnDatagram(std::size_t size);
  void ScheduleSend();
  base::Duration Window() const;
  // Message with the own load at `slots`, as many as fit.
  std::string PackLoad(const std::vector<ServerSlotPtr>& slots, bool complete);
  // Tells everything that is open to all gateways.
  void SendAll();
  // Tells the changes since the last message.
  void SendChanges();
  // Passes on the changes of all gateways.
  void SendRelay();
  // Tells the own prompts since the last message.
  void SendPrompts();
  // Takes over one prompt of another gateway.
  void TakePrompt(const protocol::peer::Prompt::Reader& prompt);
  // Address of the gateway that passes on changes; empty if none does.
  std::string Relay() const;
  // Takes over one entry of `origin`'s load.
  void TakeLoad(PeerId origin,
                const protocol::peer::ServerLoad::Reader& entry,
                base::TimePoint now);
  void Tick();
  // Begins a message with its sender and the next sequence number.
  protocol::peer::Message::Builder StartMessage(capnp::MessageBuilder& builder);
  std::string PackGive(const BudgetGive& give);
  void OnBudgetMessage(const protocol::peer::Message::Reader& message);
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
  PromptObserver* prompts_ = nullptr;
  const PeerId id_;
  std::uint64_t sequence_ = 0;
  std::uint64_t peers_lost_ = 0;
  // Servers whose load has changed since the last message.
  std::set<std::string> changed_;
  // What one gateway tells of its load at one server.
  struct ToldLoad {
    std::uint16_t open = 0;
    std::uint32_t prefill_tokens = 0;
    // Slowness in percent, as reported since the last message; 0 if unknown.
    std::uint16_t slowness = 0;
    // Outcomes of requests since the last message.
    RequestOutcomes outcomes;
  };
  // The own load at the server.
  ToldLoad OwnLoad(const ServerSlot& slot) const;
  static ToldLoad ReadLoad(const protocol::peer::ServerLoad::Reader& entry);
  static void WriteLoad(std::uint64_t server,
                        const ToldLoad& load,
                        protocol::peer::ServerLoad::Builder entry);
  // Takes a gateway's load at a server up among those to be passed on.
  void PassOn(PeerId origin, std::uint64_t server, const ToldLoad& load);
  // By origin and hash of the server's identity.
  std::map<std::pair<PeerId, std::uint64_t>, ToldLoad> relay_;
  // A prompt and the hash of the identity of the server that reads it.
  struct SentPrompt {
    std::uint64_t server = 0;
    PromptChain chain;
  };
  // As many of the first of `prompts` as fit into one message.
  static std::size_t PromptsThatFit(const std::vector<SentPrompt>& prompts);
  // Moves the first prompts of `from` into the message's `to`.
  static void PackPrompts(std::vector<SentPrompt>& from,
                          capnp::List<protocol::peer::Prompt>::Builder to);
  // Own prompts that are still to be told.
  std::vector<SentPrompt> sent_prompts_;
  // Prompts of all gateways that are to be passed on.
  std::vector<SentPrompt> relay_prompts_;
  // Slowness in percent, as reported since the last message.
  std::map<std::string, std::uint16_t> slowness_;
  // Outcomes of own requests since the last message.
  std::map<std::string, RequestOutcomes> outcomes_;
  bool send_scheduled_ = false;
  PreviousExit previous_exit_ = PreviousExit::kUnknown;
  bool listed_ = false;
  base::TimePoint next_list_{};
  std::array<char, 2048> datagram_{};
  boost::asio::ip::udp::endpoint from_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PEER_LINK_H_
