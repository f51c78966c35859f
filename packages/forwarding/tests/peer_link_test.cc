#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>

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

// A store that never answers.
class SilentTable final : public SharedTable {
 public:
  void Write(TableWrite, std::function<void(WriteResult)>) override {}
  void Read(RowName, std::function<void(ReadResult)>) override {}
  void List(std::string,
            std::string,
            std::function<void(ReadResult)>) override {}
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}
};

// Another gateway, driven by hand.
class Peer {
 public:
  explicit Peer(boost::asio::io_context& io)
      : socket_(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(socket_.local_endpoint().port());
  }

  void SendHello(const std::string& address, int processor) {
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<wire::Message>();
    message.setSender(77);
    message.setSequence(++sequence_);
    message.setProcessor(static_cast<std::uint16_t>(processor));
    message.initLoad().setComplete(true);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    Send(address, stream);
  }

  // Processor share in the first budget ask that arrives; nothing if there is
  // none.
  std::optional<int> ProcessorOfNextAsk(boost::asio::io_context& io) {
    for (int i = 0; i < 200; ++i) {
      io.poll();
      while (socket_.available() > 0) {
        std::size_t size = socket_.receive(boost::asio::buffer(datagram_));
        kj::ArrayInputStream stream(kj::arrayPtr(
            reinterpret_cast<const kj::byte*>(datagram_.data()), size));
        capnp::PackedMessageReader reader(stream);
        auto message = reader.getRoot<wire::Message>();
        if (message.hasBudgetAsk())
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

TEST_CASE("every message tells the sender's processor share") {
  boost::asio::io_context io;
  SilentTable table;
  ServerRegistry registry;
  PeerLinkSettings settings;
  settings.address = FreeAddress(io);
  settings.processor = 500;
  PeerLink link(io, settings, table, registry, 1);
  link.Start();
  Peer peer(io);
  peer.SendHello(settings.address, 90);
  for (int i = 0; i < 200; ++i)
    io.poll();

  // A receiver that took a missing share for zero would move the passing on of
  // load changes to another gateway with each ask.
  std::optional<int> processor;
  for (int program = 0; program < 100 && !processor; ++program) {
    BudgetAsk ask;
    ask.ask = 1;
    ask.program = "p" + std::to_string(program);
    if (link.Ask(ask) == BudgetHome::kOther)
      processor = peer.ProcessorOfNextAsk(io);
  }
  REQUIRE(processor);
  CHECK(*processor == 500);
}

}  // namespace
}  // namespace vanillalever::forwarding
