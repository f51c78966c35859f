#ifndef VANILLALEVER_PROTOCOL_NODE_CLIENT_H_
#define VANILLALEVER_PROTOCOL_NODE_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "vanillalever/protocol/messages.h"
#include "vanillalever/protocol/rpc_loop.h"

namespace vanillalever::protocol {

struct NodeClientSettings {
  // "ip:port" of the peer.
  std::string address;
  std::string shared_key;
  // Limit for connecting and authenticating.
  base::Duration connect_timeout = base::seconds(2);
};

class NodeClientImpl;

// Client for one peer. Connects when the first message is sent, and reconnects
// after a failure. Thread-safe. Callbacks run on the RPC thread and must not
// block. If there is no reply within the timeout, the callback receives an
// error with ran = unknown, and a late reply is discarded.
class NodeClient {
 public:
  NodeClient(RpcLoop& loop, NodeClientSettings settings);
  // Pending messages end with an error.
  ~NodeClient();

  const std::string& address() const { return address_; }

  void Execute(ExecuteRequest request,
               base::Duration timeout,
               TokenCallback on_token,
               ReplyCallback<ExecuteResult> on_reply);
  void Cancel(std::string work_token);
  void Settle(SettleRequest request,
              base::Duration timeout,
              ReplyCallback<SettleReply> on_reply);
  void Acknowledge(std::vector<std::string> work_tokens,
                   base::Duration timeout,
                   ReplyCallback<Empty> on_reply);
  void Release(ReleaseRequest request,
               base::Duration timeout,
               ReplyCallback<Empty> on_reply);
  void Report(std::uint64_t config_version,
              base::Duration timeout,
              ReplyCallback<LoadReport> on_reply);
  void Configure(std::uint64_t version,
                 std::string body,
                 base::Duration timeout,
                 ReplyCallback<std::uint64_t> on_reply);
  void Forward(ForwardRequest request,
               base::Duration timeout,
               TokenCallback on_token,
               ReplyCallback<ForwardResult> on_reply);
  void Adopt(std::vector<std::uint32_t> shards,
             base::Duration timeout,
             ReplyCallback<Empty> on_reply);

  void ShardSettled(std::uint32_t shard,
                    std::uint64_t fence,
                    base::Duration timeout,
                    ReplyCallback<Empty> on_reply);

  // Closes the connection; pending messages end with an error. For a peer that
  // stopped responding but keeps the connection open.
  void Reset();

 private:
  RpcLoop& loop_;
  std::string address_;
  std::shared_ptr<NodeClientImpl> impl_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_NODE_CLIENT_H_
