#include "node_client_impl.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <kj/debug.h>

#include "connection_limits.h"
#include "shared_key.h"

namespace vanillalever::protocol {

NodeClientImpl::Connection::Connection(kj::Own<kj::AsyncIoStream> connected)
    : stream(kj::mv(connected)),
      network(*stream, capnp::rpc::twoparty::Side::CLIENT, MessageLimits()),
      rpc(capnp::makeRpcClient(network)) {}

NodeClientImpl::NodeClientImpl(RpcLoopImpl& loop, NodeClientSettings settings)
    : loop_(loop), settings_(std::move(settings)), tasks_(*this) {}

kj::Promise<wire::Node::Client> NodeClientImpl::Connect(
    std::uint64_t generation) {
  auto timeout = std::chrono::duration_cast<std::chrono::nanoseconds>(
                     settings_.connect_timeout)
                     .count() *
                 kj::NANOSECONDS;
  auto connected =
      loop_.io()
          .provider->getNetwork()
          .parseAddress(settings_.address)
          .then([](kj::Own<kj::NetworkAddress>&& address) {
            auto promise = address->connect();
            return promise.attach(kj::mv(address));
          })
          .then([this, generation](kj::Own<kj::AsyncIoStream>&& stream) {
            return Login(kj::mv(stream), generation);
          });
  return loop_.timer().timeoutAfter(timeout, kj::mv(connected));
}

kj::Promise<wire::Node::Client> NodeClientImpl::Login(
    kj::Own<kj::AsyncIoStream> stream,
    std::uint64_t generation) {
  int no_delay = 1;
  stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  KJ_REQUIRE(generation == generation_, "the connection was reset");
  connection_ = kj::heap<Connection>(kj::mv(stream));
  capnp::MallocMessageBuilder message;
  auto vat_id = message.initRoot<capnp::rpc::twoparty::VatId>();
  vat_id.setSide(capnp::rpc::twoparty::Side::SERVER);
  auto gate = connection_->rpc.bootstrap(vat_id).castAs<wire::Gate>();
  return gate.challengeRequest()
      .send()
      .then([this, gate](auto&& response) mutable {
        auto nonce = response.getNonce();
        std::string proof = MakeProof(
            settings_.shared_key,
            {reinterpret_cast<const char*>(nonce.begin()), nonce.size()});
        auto request = gate.loginRequest();
        request.setProof(
            {reinterpret_cast<const kj::byte*>(proof.data()), proof.size()});
        return request.send();
      })
      .then([](auto&& response) { return response.getNode(); });
}

kj::Promise<wire::Node::Client> NodeClientImpl::ConnectedNode() {
  if (node_ == nullptr) {
    std::uint64_t generation = ++generation_;
    auto connecting = Connect(generation)
                          .catch_([this, generation](kj::Exception&& exception)
                                      -> kj::Promise<wire::Node::Client> {
                            if (generation == generation_)
                              DropConnection();
                            return kj::mv(exception);
                          });
    node_ = connecting.fork();
  }
  return KJ_ASSERT_NONNULL(node_).addBranch();
}

// The caller may still be using the connection, so it is destroyed in a later
// iteration of the event loop.
void NodeClientImpl::DropConnection() {
  ++generation_;
  KJ_IF_MAYBE (old_node, node_) {
    tasks_.add(kj::evalLater([node = kj::heap(kj::mv(*old_node)),
                              connection = kj::mv(connection_)]() mutable {
      node = nullptr;
      connection = nullptr;
    }));
  }
  node_ = nullptr;
}

void NodeClientImpl::Reset(const char* reason) {
  DropConnection();
  canceler_.cancel(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__,
                                 __LINE__, kj::heapString(reason)));
}

void NodeClientImpl::Shutdown() {
  Reset("the client was closed");
}

base::ErrorInfo NodeClientImpl::ToErrorInfo(const kj::Exception& exception,
                                            bool sent) const {
  base::ErrorInfo info;
  bool timed_out = exception.getType() == kj::Exception::Type::OVERLOADED;
  info.code =
      timed_out ? base::ErrorCode::kTimeout : base::ErrorCode::kUnavailable;
  info.message = exception.getDescription().cStr();
  info.step = sent ? base::Step::kDispatch : base::Step::kConnect;
  info.ran =
      sent ? base::ExecutionStatus::kUnknown : base::ExecutionStatus::kNotRun;
  info.peer = settings_.address;
  return info;
}

}  // namespace vanillalever::protocol
