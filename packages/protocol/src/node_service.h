#ifndef VANILLALEVER_PROTOCOL_SRC_NODE_SERVICE_H_
#define VANILLALEVER_PROTOCOL_SRC_NODE_SERVICE_H_

#include "inner.capnp.h"
#include "rpc_loop_impl.h"
#include "vanillalever/protocol/node_handler.h"

namespace vanillalever::protocol {

// Server side of the Node interface: decodes requests, passes them to a
// NodeHandler and encodes the replies.
class NodeService final : public wire::Node::Server {
 public:
  NodeService(RpcLoopImpl& loop, NodeHandler& handler)
      : loop_(loop), handler_(handler) {}

  kj::Promise<void> execute(ExecuteContext context) override;
  kj::Promise<void> cancel(CancelContext context) override;
  kj::Promise<void> settle(SettleContext context) override;
  kj::Promise<void> acknowledge(AcknowledgeContext context) override;
  kj::Promise<void> release(ReleaseContext context) override;
  kj::Promise<void> report(ReportContext context) override;
  kj::Promise<void> configure(ConfigureContext context) override;
  kj::Promise<void> forward(ForwardContext context) override;
  kj::Promise<void> adopt(AdoptContext context) override;
  kj::Promise<void> shardSettled(ShardSettledContext context) override;

 private:
  // Passes `request` and a Responder to `start`. When the reply has arrived and
  // all streamed text is sent, passes the reply to `finish`.
  template <typename Reply, typename Request, typename Start, typename Finish>
  kj::Promise<void> Serve(Request request,
                          wire::TokenSink::Client sink,
                          Start start,
                          Finish finish);

  RpcLoopImpl& loop_;
  NodeHandler& handler_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_NODE_SERVICE_H_
