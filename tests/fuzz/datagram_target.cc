#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "peer.capnp.h"

#include "target.h"
#include "vanillalever/forwarding/peer_link.h"

namespace vanillalever::fuzz {
namespace {

using boost::asio::ip::udp;
namespace wire = protocol::peer;

// A store that responds to no call.
class SilentTable final : public forwarding::SharedTable {
 public:
  void Transact(std::vector<forwarding::TableWrite>,
                std::function<void(forwarding::TransactionResult)>) override {}
  void ReadRange(forwarding::TableRange,
                 std::function<void(forwarding::ReadResult)>) override {}
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(forwarding::ChangesResult)>) override {}
};

std::string SampleMessage() {
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<wire::Message>();
  message.setSender(77);
  message.setSequence(1);
  message.setProcessor(500);
  message.initLoad().initServers(3)[0].setServer(5);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::string FreeAddress(boost::asio::io_context& io) {
  udp::socket probe(io, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

// Datagrams of other gateways.
class PeerTarget final : public Target {
 public:
  explicit PeerTarget(std::uint64_t seed)
      : mutator_({SampleMessage()},
                 {std::string(1, '\0'), "\xff", "\xff\xff\xff\x7f"},
                 seed),
        address_(FreeAddress(io_)),
        socket_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        registry_(forwarding::RegistrySettings()),
        link_(io_, Settings(address_), table_, registry_, seed) {
    link_.Start();
  }

  std::string name() const override { return "datagram"; }
  std::string NextInput() override { return mutator_.Next(); }

  void Run(const std::string& input) override {
    auto port = static_cast<unsigned short>(
        std::stoi(address_.substr(address_.find(':') + 1)));
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(input.substr(0, 1400)),
                    {boost::asio::ip::address_v4::loopback(), port}, 0,
                    ignored);
    io_.restart();
    io_.poll();
  }

 private:
  static forwarding::PeerLinkSettings Settings(const std::string& address) {
    forwarding::PeerLinkSettings settings;
    settings.address = address;
    return settings;
  }

  boost::asio::io_context io_;
  Mutator mutator_;
  const std::string address_;
  udp::socket socket_;
  SilentTable table_;
  forwarding::ServerRegistry registry_;
  forwarding::PeerLink link_;
};

}  // namespace

std::unique_ptr<Target> DatagramTarget(std::uint64_t seed) {
  return std::make_unique<PeerTarget>(seed);
}

}  // namespace vanillalever::fuzz
