#include "vanillalever/protocol/node_client.h"

#include <utility>

#include "node_client_impl.h"
#include "wire_codec.h"

namespace vanillalever::protocol {
namespace {

// Forwards streamed text to a callback.
class CallbackSink final : public wire::TokenSink::Server {
 public:
  explicit CallbackSink(TokenCallback on_token)
      : on_token_(std::move(on_token)) {}

  kj::Promise<void> write(WriteContext context) override {
    auto params = context.getParams();
    auto text = params.getText();
    if (on_token_)
      on_token_({std::string(text.begin(), text.size()), params.getReset()});
    return kj::READY_NOW;
  }

 private:
  TokenCallback on_token_;
};

}  // namespace

NodeClient::NodeClient(RpcLoop& loop, NodeClientSettings settings)
    : loop_(loop), address_(settings.address) {
  loop_.Run([this, &settings] {
    impl_ = std::make_shared<NodeClientImpl>(loop_.impl(), settings);
  });
}

NodeClient::~NodeClient() {
  loop_.Post([impl = std::move(impl_)]() mutable {
    impl->Shutdown();
    // The callbacks of the cancelled calls run in later iterations of the event
    // loop, so `impl` must outlive them.
    kj::evalLast([impl = std::move(impl)] {}).detach([](kj::Exception&&) {});
  });
}

void NodeClient::Execute(ExecuteRequest request,
                         base::Duration timeout,
                         TokenCallback on_token,
                         ReplyCallback<ExecuteResult> on_reply) {
  loop_.Post([impl = impl_, request = std::move(request), timeout,
              on_token = std::move(on_token),
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<ExecuteResult>(
        timeout, std::move(on_reply),
        [request = std::move(request),
         on_token = std::move(on_token)](wire::Node::Client node) mutable {
          auto message = node.executeRequest();
          Encode(request, message.initRequest());
          message.setSink(kj::heap<CallbackSink>(std::move(on_token)));
          return message.send().then(
              [](auto&& response) { return Decode(response.getResult()); });
        });
  });
}

void NodeClient::Cancel(std::string work_token) {
  loop_.Post([impl = impl_, work_token = std::move(work_token)] {
    impl->Call<Empty>(
        base::seconds(2), [](const Outcome<Empty>&) {},
        [work_token](wire::Node::Client node) {
          auto message = node.cancelRequest();
          message.setWorkToken(work_token);
          return message.send().then([](auto&&) { return Empty(); });
        });
  });
}

void NodeClient::Settle(SettleRequest request,
                        base::Duration timeout,
                        ReplyCallback<SettleReply> on_reply) {
  loop_.Post([impl = impl_, request = std::move(request), timeout,
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<SettleReply>(
        timeout, std::move(on_reply),
        [request = std::move(request)](wire::Node::Client node) {
          auto message = node.settleRequest();
          Encode(request, message.initRequest());
          return message.send().then(
              [](auto&& response) { return Decode(response.getReply()); });
        });
  });
}

void NodeClient::Acknowledge(std::vector<std::string> work_tokens,
                             base::Duration timeout,
                             ReplyCallback<Empty> on_reply) {
  loop_.Post([impl = impl_, work_tokens = std::move(work_tokens), timeout,
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<Empty>(
        timeout, std::move(on_reply),
        [work_tokens = std::move(work_tokens)](wire::Node::Client node) {
          auto message = node.acknowledgeRequest();
          auto list =
              message.initWorkTokens(static_cast<unsigned>(work_tokens.size()));
          for (unsigned i = 0; i < list.size(); ++i)
            list.set(i, work_tokens[i]);
          return message.send().then([](auto&&) { return Empty(); });
        });
  });
}

void NodeClient::Release(ReleaseRequest request,
                         base::Duration timeout,
                         ReplyCallback<Empty> on_reply) {
  auto on_outcome = [on_reply = std::move(on_reply)](
                        Outcome<std::optional<base::ErrorInfo>> outcome) {
    Outcome<Empty> result;
    result.error = outcome.error ? outcome.error : outcome.value;
    on_reply(std::move(result));
  };
  loop_.Post([impl = impl_, request = std::move(request), timeout,
              on_outcome = std::move(on_outcome)]() mutable {
    impl->Call<std::optional<base::ErrorInfo>>(
        timeout, std::move(on_outcome),
        [request = std::move(request)](wire::Node::Client node) {
          auto message = node.releaseRequest();
          Encode(request, message.initRequest());
          return message.send().then([](auto&& response) {
            std::optional<base::ErrorInfo> error;
            if (response.hasError())
              error = Decode(response.getError());
            return error;
          });
        });
  });
}

void NodeClient::Report(std::uint64_t config_version,
                        base::Duration timeout,
                        ReplyCallback<LoadReport> on_reply) {
  loop_.Post([impl = impl_, config_version, timeout,
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<LoadReport>(timeout, std::move(on_reply),
                           [config_version](wire::Node::Client node) {
                             auto message = node.reportRequest();
                             message.setConfigVersion(config_version);
                             return message.send().then([](auto&& response) {
                               return Decode(response.getReport());
                             });
                           });
  });
}

void NodeClient::Configure(std::uint64_t version,
                           std::string body,
                           base::Duration timeout,
                           ReplyCallback<std::uint64_t> on_reply) {
  loop_.Post([impl = impl_, version, body = std::move(body), timeout,
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<std::uint64_t>(
        timeout, std::move(on_reply),
        [version, body = std::move(body)](wire::Node::Client node) {
          auto message = node.configureRequest();
          message.setVersion(version);
          message.setBody(
              {reinterpret_cast<const kj::byte*>(body.data()), body.size()});
          return message.send().then([](auto&& response) {
            return static_cast<std::uint64_t>(response.getVersion());
          });
        });
  });
}

void NodeClient::Forward(ForwardRequest request,
                         base::Duration timeout,
                         TokenCallback on_token,
                         ReplyCallback<ForwardResult> on_reply) {
  loop_.Post([impl = impl_, request = std::move(request), timeout,
              on_token = std::move(on_token),
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<ForwardResult>(
        timeout, std::move(on_reply),
        [request = std::move(request),
         on_token = std::move(on_token)](wire::Node::Client node) mutable {
          auto message = node.forwardRequest();
          Encode(request, message.initRequest());
          message.setSink(kj::heap<CallbackSink>(std::move(on_token)));
          return message.send().then(
              [](auto&& response) { return Decode(response.getResult()); });
        });
  });
}

void NodeClient::Adopt(std::vector<std::uint32_t> shards,
                       base::Duration timeout,
                       ReplyCallback<Empty> on_reply) {
  loop_.Post([impl = impl_, shards = std::move(shards), timeout,
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<Empty>(
        timeout, std::move(on_reply),
        [shards = std::move(shards)](wire::Node::Client node) {
          auto message = node.adoptRequest();
          auto list = message.initShards(static_cast<unsigned>(shards.size()));
          for (unsigned i = 0; i < list.size(); ++i)
            list.set(i, shards[i]);
          return message.send().then([](auto&&) { return Empty(); });
        });
  });
}

void NodeClient::ShardSettled(std::uint32_t shard,
                              std::uint64_t fence,
                              base::Duration timeout,
                              ReplyCallback<Empty> on_reply) {
  loop_.Post([impl = impl_, shard, fence, timeout,
              on_reply = std::move(on_reply)]() mutable {
    impl->Call<Empty>(
        timeout, std::move(on_reply), [shard, fence](wire::Node::Client node) {
          auto message = node.shardSettledRequest();
          message.setShard(shard);
          message.setFence(fence);
          return message.send().then([](auto&&) { return Empty(); });
        });
  });
}

void NodeClient::Reset() {
  loop_.Post([impl = impl_] { impl->Reset("the peer stopped answering"); });
}

}  // namespace vanillalever::protocol
