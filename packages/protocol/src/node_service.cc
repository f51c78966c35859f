#include "node_service.h"

#include <atomic>
#include <memory>
#include <utility>

#include "stream_writer.h"
#include "wire_codec.h"

namespace vanillalever::protocol {
namespace {

// Reply that has not been sent yet, shared with the thread that will provide
// it. Its KJ objects may only be used on the RPC thread.
template <typename Reply>
struct PendingReply {
  kj::Own<kj::PromiseFulfiller<Reply>> fulfiller;
  kj::Own<StreamWriter> writer;
  std::atomic<bool> done = false;
};

// Creates a PendingReply that is destroyed on the RPC thread, whichever thread
// releases the last reference.
template <typename Reply>
std::shared_ptr<PendingReply<Reply>> MakePendingReply(
    RpcLoopImpl& loop,
    kj::Own<kj::PromiseFulfiller<Reply>> fulfiller,
    kj::Own<StreamWriter> writer) {
  auto* pending = new PendingReply<Reply>();
  pending->fulfiller = kj::mv(fulfiller);
  pending->writer = kj::mv(writer);
  return {pending, [&loop](PendingReply<Reply>* to_delete) {
            loop.Post([to_delete] { delete to_delete; });
          }};
}

template <typename Reply>
Responder<Reply> MakeResponder(RpcLoopImpl& loop,
                               std::shared_ptr<PendingReply<Reply>> pending) {
  Responder<Reply> responder;
  responder.token = [&loop, pending](std::string text) {
    loop.Post(
        [pending, text = std::move(text)] { pending->writer->Write(text); });
  };
  responder.reset = [&loop, pending] {
    loop.Post([pending] { pending->writer->Reset(); });
  };
  responder.done = [&loop, pending](Reply reply) {
    if (pending->done.exchange(true))
      return;
    auto shared_reply = std::make_shared<Reply>(std::move(reply));
    loop.Post([pending, shared_reply] {
      pending->fulfiller->fulfill(std::move(*shared_reply));
    });
  };
  return responder;
}

}  // namespace

template <typename Reply, typename Request, typename Start, typename Finish>
kj::Promise<void> NodeService::Serve(Request request,
                                     wire::TokenSink::Client sink,
                                     Start start,
                                     Finish finish) {
  auto pair = kj::newPromiseAndFulfiller<Reply>();
  auto writer = kj::refcounted<StreamWriter>(kj::mv(sink));
  auto flush_writer = kj::addRef(*writer);
  auto pending =
      MakePendingReply<Reply>(loop_, kj::mv(pair.fulfiller), kj::mv(writer));
  start(std::move(request), MakeResponder<Reply>(loop_, std::move(pending)));
  return pair.promise.then([flush_writer = kj::mv(flush_writer),
                            finish = kj::mv(finish)](Reply&& reply) mutable {
    auto flushed = flush_writer->Flush();
    return flushed.then(
        [finish = kj::mv(finish), flush_writer = kj::mv(flush_writer),
         reply = std::move(reply)]() mutable { finish(reply); });
  });
}

kj::Promise<void> NodeService::execute(ExecuteContext context) {
  auto params = context.getParams();
  ExecuteRequest request = Decode(params.getRequest());
  auto sink = params.getSink();
  context.releaseParams();
  return Serve<ExecuteResult>(
      std::move(request), kj::mv(sink),
      [this](ExecuteRequest call, Responder<ExecuteResult> responder) {
        handler_.OnExecute(std::move(call), std::move(responder));
      },
      [context](const ExecuteResult& result) mutable {
        Encode(result, context.getResults().initResult());
      });
}

kj::Promise<void> NodeService::cancel(CancelContext context) {
  handler_.OnCancel(context.getParams().getWorkToken());
  return kj::READY_NOW;
}

kj::Promise<void> NodeService::settle(SettleContext context) {
  SettleRequest request = Decode(context.getParams().getRequest());
  Encode(handler_.OnSettle(request), context.getResults().initReply());
  return kj::READY_NOW;
}

kj::Promise<void> NodeService::acknowledge(AcknowledgeContext context) {
  std::vector<std::string> tokens;
  for (auto token : context.getParams().getWorkTokens())
    tokens.emplace_back(token.begin(), token.size());
  handler_.OnAcknowledge(tokens);
  return kj::READY_NOW;
}

kj::Promise<void> NodeService::release(ReleaseContext context) {
  using Reply = std::optional<base::ErrorInfo>;
  return Serve<Reply>(
      Decode(context.getParams().getRequest()), nullptr,
      [this](ReleaseRequest request, Responder<Reply> responder) {
        handler_.OnRelease(std::move(request), std::move(responder));
      },
      [context](const Reply& error) mutable {
        if (error)
          Encode(*error, context.getResults().initError());
      });
}

kj::Promise<void> NodeService::report(ReportContext context) {
  LoadReport report = handler_.OnReport(context.getParams().getConfigVersion());
  Encode(report, context.getResults().initReport());
  return kj::READY_NOW;
}

kj::Promise<void> NodeService::configure(ConfigureContext context) {
  auto params = context.getParams();
  auto body = params.getBody();
  std::string text(reinterpret_cast<const char*>(body.begin()), body.size());
  context.getResults().setVersion(
      handler_.OnConfigure(params.getVersion(), std::move(text)));
  return kj::READY_NOW;
}

kj::Promise<void> NodeService::forward(ForwardContext context) {
  auto params = context.getParams();
  return Serve<ForwardResult>(
      Decode(params.getRequest()), params.getSink(),
      [this](ForwardRequest request, Responder<ForwardResult> responder) {
        handler_.OnForward(std::move(request), std::move(responder));
      },
      [context](const ForwardResult& result) mutable {
        Encode(result, context.getResults().initResult());
      });
}

kj::Promise<void> NodeService::shardSettled(ShardSettledContext context) {
  auto params = context.getParams();
  handler_.OnShardSettled(params.getShard(), params.getFence());
  return kj::READY_NOW;
}

kj::Promise<void> NodeService::adopt(AdoptContext context) {
  std::vector<std::uint32_t> shards;
  for (std::uint32_t shard : context.getParams().getShards())
    shards.push_back(shard);
  handler_.OnAdopt(shards);
  return kj::READY_NOW;
}

}  // namespace vanillalever::protocol
