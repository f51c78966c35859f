#ifndef VANILLALEVER_PROTOCOL_SRC_NODE_CLIENT_IMPL_H_
#define VANILLALEVER_PROTOCOL_SRC_NODE_CLIENT_IMPL_H_

#include <functional>
#include <memory>
#include <utility>

#include <capnp/rpc-twoparty.h>

#include "inner.capnp.h"
#include "rpc_loop_impl.h"
#include "vanillalever/protocol/node_client.h"

namespace vanillalever::protocol {

// Connection and pending calls of a NodeClient. Used on the RPC thread only.
class NodeClientImpl final : private kj::TaskSet::ErrorHandler {
 public:
  NodeClientImpl(RpcLoopImpl& loop, NodeClientSettings settings);

  // Connects if necessary, then calls `send` with the peer's node; `send`
  // returns a promise of T. Passes the reply or an error to `on_reply`.
  template <typename T, typename Send>
  void Call(base::Duration timeout, ReplyCallback<T> on_reply, Send send);

  void Reset(const char* reason);
  // Ends pending calls with an error. No call may be made afterwards.
  void Shutdown();

 private:
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> connected);

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  };

  kj::Promise<wire::Node::Client> Connect(std::uint64_t generation);
  kj::Promise<wire::Node::Client> Login(kj::Own<kj::AsyncIoStream> stream,
                                        std::uint64_t generation);
  kj::Promise<wire::Node::Client> ConnectedNode();
  base::ErrorInfo ToErrorInfo(const kj::Exception& exception, bool sent) const;
  void DropConnection();
  void taskFailed(kj::Exception&& /*exception*/) override {}

  RpcLoopImpl& loop_;
  NodeClientSettings settings_;
  // Set once the TCP connection exists, before authentication.
  kj::Own<Connection> connection_;
  // Set while connecting or connected.
  kj::Maybe<kj::ForkedPromise<wire::Node::Client>> node_;
  // Incremented for each connection, so that a late failure of an old
  // connection does not drop a newer one.
  std::uint64_t generation_ = 0;
  kj::Canceler canceler_;
  kj::TaskSet tasks_;
};

template <typename T, typename Send>
void NodeClientImpl::Call(base::Duration timeout,
                          ReplyCallback<T> on_reply,
                          Send send) {
  auto callback = std::make_shared<ReplyCallback<T>>(std::move(on_reply));
  auto sent = std::make_shared<bool>(false);
  auto generation = std::make_shared<std::uint64_t>(0);
  auto duration =
      std::chrono::duration_cast<std::chrono::nanoseconds>(timeout).count() *
      kj::NANOSECONDS;
  kj::Promise<T> reply =
      ConnectedNode().then([this, sent, generation, send = kj::mv(send)](
                               wire::Node::Client node) mutable {
        *sent = true;
        *generation = generation_;
        return send(kj::mv(node));
      });
  reply = loop_.timer().timeoutAfter(duration, kj::mv(reply));
  reply = canceler_.wrap(kj::mv(reply));
  tasks_.add(reply.then(
      [callback](T&& value) {
        Outcome<T> outcome;
        outcome.value = std::move(value);
        (*callback)(std::move(outcome));
      },
      [this, callback, sent, generation](kj::Exception&& exception) {
        bool disconnected =
            exception.getType() == kj::Exception::Type::DISCONNECTED;
        if (disconnected && *sent && *generation == generation_)
          DropConnection();
        Outcome<T> outcome;
        outcome.error = ToErrorInfo(exception, *sent);
        (*callback)(std::move(outcome));
      }));
}

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_NODE_CLIENT_IMPL_H_
