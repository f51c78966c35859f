#ifndef VANILLALEVER_PROTOCOL_NODE_HANDLER_H_
#define VANILLALEVER_PROTOCOL_NODE_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "vanillalever/protocol/messages.h"

namespace vanillalever::protocol {

// Sends the reply to a message. The functions may be called on any thread;
// only the first call of `done` has an effect.
template <typename T>
struct Responder {
  std::function<void(T reply)> done;
  // Streams text before the reply.
  std::function<void(std::string text)> token;
  // Tells the receiver to discard the text streamed so far.
  std::function<void()> reset;
};

// Handles the messages of the peers of a process. Called on the RPC thread;
// implementations must not block. The default implementations are for messages
// that the role of the process does not serve: they reply with an error if
// the reply can carry one, and with an empty reply otherwise.
class NodeHandler {
 public:
  virtual ~NodeHandler() = default;

  virtual void OnExecute(ExecuteRequest request,
                         Responder<ExecuteResult> responder);
  virtual void OnCancel(const std::string& work_token);
  virtual SettleReply OnSettle(const SettleRequest& request);
  virtual void OnAcknowledge(const std::vector<std::string>& work_tokens);
  // Replies with an error, or with nullopt once the cache is released.
  virtual void OnRelease(ReleaseRequest request,
                         Responder<std::optional<base::ErrorInfo>> responder);
  // `config_version` is the active configuration version of the requesting
  // entry.
  virtual LoadReport OnReport(std::uint64_t config_version);
  // Returns the configuration version that is active afterwards.
  virtual std::uint64_t OnConfigure(std::uint64_t version, std::string body);
  virtual void OnForward(ForwardRequest request,
                         Responder<ForwardResult> responder);
  virtual void OnAdopt(const std::vector<std::uint32_t>& shards);
  virtual void OnShardSettled(std::uint32_t shard, std::uint64_t fence);
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_NODE_HANDLER_H_
