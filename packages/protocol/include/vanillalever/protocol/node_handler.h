#ifndef VANILLALEVER_PROTOCOL_NODE_HANDLER_H_
#define VANILLALEVER_PROTOCOL_NODE_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "vanillalever/protocol/messages.h"

namespace vanillalever::protocol {

// Answer to a message. The functions may be called on any thread; `done` once.
template <typename T>
struct Responder {
  std::function<void(T reply)> done;
  // Sends streamed text ahead of the reply.
  std::function<void(std::string text)> token;
  // Declares the streamed text void.
  std::function<void()> reset;
};

// What a process answers to its peers. Messages arrive on the RPC thread, so an
// implementation must not block. The defaults refuse messages that the role
// does not serve.
class NodeHandler {
 public:
  virtual ~NodeHandler() = default;

  virtual void OnExecute(ExecuteRequest request,
                         Responder<ExecuteResult> responder);
  virtual void OnCancel(const std::string& work_token);
  virtual SettleReply OnSettle(const SettleRequest& request);
  virtual void OnAcknowledge(const std::vector<std::string>& work_tokens);
  // Replies with an error, or with nothing when the cache is released.
  virtual void OnRelease(ReleaseRequest request,
                         Responder<std::optional<base::ErrorInfo>> responder);
  // `config_version` is the version that the asking entry has in force.
  virtual LoadReport OnReport(std::uint64_t config_version);
  // Returns the version in force afterwards.
  virtual std::uint64_t OnConfigure(std::uint64_t version, std::string body);
  virtual void OnForward(ForwardRequest request,
                         Responder<ForwardResult> responder);
  virtual void OnAdopt(const std::vector<std::uint32_t>& shards);
  virtual void OnShardSettled(std::uint32_t shard, std::uint64_t fence);
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_NODE_HANDLER_H_
