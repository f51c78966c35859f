#include "vanillalever/protocol/rpc_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include "connection_limits.h"
#include "gate_service.h"
#include "node_service.h"
#include "rpc_loop_impl.h"

namespace vanillalever::protocol {
namespace {

// Accepted connection.
struct ServerConnection {
  ServerConnection(kj::Own<kj::AsyncIoStream> accepted,
                   const std::string& shared_key,
                   wire::Node::Client node)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, MessageLimits()),
        rpc(capnp::makeRpcServer(
            network,
            wire::Gate::Client(kj::heap<GateService>(shared_key,
                                                     kj::mv(node),
                                                     authenticated)))) {}

  bool authenticated = false;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

// Used on the RPC thread only.
class RpcServerImpl final : private kj::TaskSet::ErrorHandler {
 public:
  RpcServerImpl(RpcLoopImpl& loop,
                const RpcServerSettings& settings,
                NodeHandler& handler,
                base::CounterRegistry& counters)
      : loop_(loop),
        shared_key_(settings.shared_key),
        node_(kj::heap<NodeService>(loop, handler)),
        closed_connections_(
            counters.counter("vl_rpc_connections_closed_total",
                             "Inner connections closed on an error.")),
        open_connections_(counters.gauge("vl_rpc_connections",
                                         "Inner connections that are open.")),
        tasks_(*this) {
    receiver_ = loop.io()
                    .provider->getNetwork()
                    .parseAddress(settings.host, settings.port)
                    .wait(loop.io().waitScope)
                    ->listen();
  }

  std::uint16_t port() {
    return static_cast<std::uint16_t>(receiver_->getPort());
  }

  void Accept() {
    tasks_.add(
        receiver_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
          Accept();
          Serve(kj::mv(stream));
        }));
  }

 private:
  void Serve(kj::Own<kj::AsyncIoStream> stream) {
    auto connection =
        kj::heap<ServerConnection>(kj::mv(stream), shared_key_, node_);
    ServerConnection& state = *connection;
    auto login_check = loop_.timer().afterDelay(kLoginTimeout).then([&state]() {
      if (state.authenticated)
        return kj::Promise<void>(kj::NEVER_DONE);
      return kj::Promise<void>(
          KJ_EXCEPTION(FAILED, "the peer did not log in in time"));
    });
    open_connections_.Add(1);
    tasks_.add(state.network.onDisconnect()
                   .exclusiveJoin(kj::mv(login_check))
                   .attach(kj::mv(connection),
                           kj::defer([this] { open_connections_.Add(-1); })));
  }

  void taskFailed(kj::Exception&& /*exception*/) override {
    closed_connections_.Add();
  }

  RpcLoopImpl& loop_;
  std::string shared_key_;
  wire::Node::Client node_;
  base::Counter& closed_connections_;
  base::Counter& open_connections_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  kj::TaskSet tasks_;
};

RpcServer::RpcServer(RpcLoop& loop,
                     const RpcServerSettings& settings,
                     NodeHandler& handler,
                     base::CounterRegistry& counters)
    : loop_(loop) {
  std::string failure_text;
  loop_.Run([&] {
    try {
      impl_ = std::make_unique<RpcServerImpl>(loop.impl(), settings, handler,
                                              counters);
      port_ = impl_->port();
      impl_->Accept();
    } catch (const kj::Exception& exception) {
      failure_text = exception.getDescription().cStr();
    }
  });
  if (!failure_text.empty()) {
    throw base::NotRunError(
        base::ErrorCode::kUnavailable, base::Step::kConnect,
        "cannot listen: " + failure_text,
        settings.host + ":" + std::to_string(settings.port));
  }
}

RpcServer::~RpcServer() {
  loop_.Run([this] { impl_.reset(); });
}

}  // namespace vanillalever::protocol
