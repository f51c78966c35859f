#include "vanillalever/protocol/node_handler.h"

namespace vanillalever::protocol {
namespace {

base::ErrorInfo NotServedError() {
  base::ErrorInfo info;
  info.code = base::ErrorCode::kInvalidRequest;
  info.step = base::Step::kDispatch;
  info.message = "this process's role does not serve the message";
  return info;
}

}  // namespace

void NodeHandler::OnExecute(ExecuteRequest /*request*/,
                            Responder<ExecuteResult> responder) {
  ExecuteResult result;
  result.error = NotServedError();
  responder.done(std::move(result));
}

void NodeHandler::OnCancel(const std::string& /*work_token*/) {}

SettleReply NodeHandler::OnSettle(const SettleRequest& /*request*/) {
  return {};
}

void NodeHandler::OnAcknowledge(
    const std::vector<std::string>& /*work_tokens*/) {}

void NodeHandler::OnRelease(
    ReleaseRequest /*request*/,
    Responder<std::optional<base::ErrorInfo>> responder) {
  responder.done(NotServedError());
}

LoadReport NodeHandler::OnReport(std::uint64_t /*config_version*/) {
  return {};
}

std::uint64_t NodeHandler::OnConfigure(std::uint64_t /*version*/,
                                       std::string /*body*/) {
  return 0;
}

void NodeHandler::OnForward(ForwardRequest /*request*/,
                            Responder<ForwardResult> responder) {
  ForwardResult result;
  result.error = NotServedError();
  responder.done(std::move(result));
}

void NodeHandler::OnShardSettled(std::uint32_t /*shard*/,
                                 std::uint64_t /*fence*/) {}

void NodeHandler::OnAdopt(const std::vector<std::uint32_t>& /*shards*/) {}

}  // namespace vanillalever::protocol
