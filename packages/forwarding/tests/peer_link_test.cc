#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "peer.capnp.h"

#include "vanillalever/forwarding/peer_link.h"

namespace vanillalever::forwarding {
namespace {

using boost::asio::ip::udp;
namespace wire = protocol::peer;

// A store that lists the given gateways at once and responds to no other call.
class ListingTable final : public SharedTable {
 public:
  std::vector<std::string> addresses;

  void Transact(std::vector<TableWrite>,
                std::function<void(TransactionResult)>) override {}
  void ReadRange(TableRange range,
                 std::function<void(ReadResult)> done) override {
    if (!range.to.empty())
      return;
    ReadResult result;
    result.outcome = StoreOutcome::kDone;
    for (const std::string& address : addresses)
      result.rows.push_back({{"gateways", "", address}, "", 1, false});
    done(result);
  }
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}
};

// Another gateway, driven by the test.
class Peer {
 public:
  explicit Peer(boost::asio::io_context& io)
      : socket_(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(socket_.local_endpoint().port());
  }

  void SendHello(const std::string& address, int cpu_millicores) {
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<wire::Message>();
    message.setSender(77);
    message.setSequence(++sequence_);
    message.setProcessor(static_cast<std::uint16_t>(cpu_millicores));
    message.initLoad().setComplete(true);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    Send(address, stream);
  }

  // CPU share in the first reclaim request that arrives; nothing if there is
  // none.
  std::optional<int> CpuMillicoresOfNextRequest(boost::asio::io_context& io) {
    for (int i = 0; i < 200; ++i) {
      io.poll();
      while (socket_.available() > 0) {
        std::size_t size = socket_.receive(boost::asio::buffer(datagram_));
        kj::ArrayInputStream stream(kj::arrayPtr(
            reinterpret_cast<const kj::byte*>(datagram_.data()), size));
        capnp::PackedMessageReader reader(stream);
        auto message = reader.getRoot<wire::Message>();
        if (message.hasBudgetCallIn())
          return message.getProcessor();
      }
    }
    return std::nullopt;
  }

 private:
  void Send(const std::string& address, kj::VectorOutputStream& stream) {
    auto bytes = stream.getArray();
    auto port = static_cast<unsigned short>(
        std::stoi(address.substr(address.find(':') + 1)));
    socket_.send_to(
        boost::asio::buffer(bytes.begin(), bytes.size()),
        udp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  }

  udp::socket socket_;
  std::uint64_t sequence_ = 0;
  std::array<char, 2048> datagram_{};
};

std::string FreeAddress(boost::asio::io_context& io) {
  return Peer(io).address();
}

TEST_CASE("every message carries the sender's CPU share") {
  boost::asio::io_context io;
  ListingTable table;
  ServerRegistry registry;
  PeerLinkSettings settings;
  settings.address = FreeAddress(io);
  settings.cpu_millicores = 500;
  PeerLink link(io, settings, table, registry, 1);
  link.Start();
  Peer peer(io);
  peer.SendHello(settings.address, 90);
  for (int i = 0; i < 200; ++i)
    io.poll();

  // A receiver that read a missing share as zero would choose another relay for
  // load changes at each reclaim request.
  std::optional<int> cpu_millicores;
  for (int program = 0; program < 100 && !cpu_millicores; ++program) {
    ReclaimRequest request;
    request.id = 1;
    request.program = "p" + std::to_string(program);
    if (link.Reclaim(request) > 0)
      cpu_millicores = peer.CpuMillicoresOfNextRequest(io);
  }
  REQUIRE(cpu_millicores);
  CHECK(*cpu_millicores == 500);
}

// Three connected gateways; the first one relays if any does.
class ThreeGateways {
 public:
  class Observer final : public PromptObserver {
   public:
    void OnPeerPrompt(const ServerSlot& slot,
                      const PromptChain& chain) override {
      server = slot.server.id;
      tokens = chain.links.empty() ? 0 : chain.links.back().tokens;
      ++count;
    }
    std::string server;
    std::int64_t tokens = 0;
    int count = 0;
  };

  explicit ThreeGateways(std::size_t max_direct_peers) {
    BackendServer server;
    server.id = "m-0";
    server.service = "models";
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < 3; ++i) {
      addresses.push_back(FreeAddress(io));
      table.addresses.push_back(addresses.back());
    }
    for (std::size_t i = 0; i < 3; ++i) {
      registries[i].Put(server);
      PeerLinkSettings settings;
      settings.address = addresses[i];
      settings.cpu_millicores = i == 0 ? 500 : 90;
      settings.max_direct_peers = max_direct_peers;
      links[i] = std::make_unique<PeerLink>(io, settings, table, registries[i],
                                            2 * i + 1);
      links[i]->SetPromptObserver(observers[i]);
      links[i]->Start();
    }
    // Longer than the interval of complete messages, so that all gateways have
    // received messages from each other.
    Run(base::milliseconds(400));
  }

  void Run(base::milliseconds time) { io.run_for(time); }

  boost::asio::io_context io;
  ListingTable table;
  std::array<ServerRegistry, 3> registries;
  std::array<Observer, 3> observers;
  std::array<std::unique_ptr<PeerLink>, 3> links;
};

TEST_CASE("a prompt that one gateway sends is announced to all others") {
  // Directly, and through the relay.
  for (std::size_t max_direct_peers : {10, 0}) {
    ThreeGateways gateways(max_direct_peers);
    PromptChain chain = MakePromptChain({{"shared", 2560}, {"own", 1030}});
    gateways.links[1]->OnPromptSent(*gateways.registries[1].find("m-0"), chain);
    gateways.Run(base::milliseconds(150));
    INFO("direct peers " << max_direct_peers);
    for (std::size_t i : {0, 2}) {
      CHECK(gateways.observers[i].count >= 1);
      CHECK(gateways.observers[i].server == "m-0");
      CHECK(gateways.observers[i].tokens == 1030);
    }
  }
}

TEST_CASE("prompts that do not fit into one message are sent in further ones") {
  for (std::size_t max_direct_peers : {10, 0}) {
    ThreeGateways gateways(max_direct_peers);
    PromptChain chain = MakePromptChain({{"a", 1}, {"b", 2}, {"c", 3}});
    for (int i = 0; i < 100; ++i)
      gateways.links[1]->OnPromptSent(*gateways.registries[1].find("m-0"),
                                      chain);
    gateways.Run(base::milliseconds(150));
    INFO("direct peers " << max_direct_peers);
    CHECK(gateways.observers[2].count == 100);
  }
}

TEST_CASE("a failure at a server counts once at every other gateway") {
  for (std::size_t max_direct_peers : {10, 0}) {
    ThreeGateways gateways(max_direct_peers);
    ServerSlotPtr slot = gateways.registries[1].find("m-0");
    slot->load.OnSend(0);
    for (int i = 0; i < 4; ++i)
      gateways.links[1]->OnOutcome(*slot, true);
    gateways.links[1]->OnLoadChanged(*slot);
    // Longer than the interval of complete messages.
    gateways.Run(base::milliseconds(700));
    INFO("direct peers " << max_direct_peers);
    for (std::size_t i : {0, 2}) {
      INFO("gateway " << i);
      double share = gateways.registries[i].find("m-0")->load.failure_share(
          base::TimePoint::clock::now());
      // Four failures and the four prior successes of the estimate, with some
      // decay.
      CHECK(share > 0.4);
      CHECK(share < 0.5);
    }
  }
}

}  // namespace
}  // namespace vanillalever::forwarding
