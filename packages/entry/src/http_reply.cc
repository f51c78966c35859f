#include "http_reply.h"

#include <nlohmann/json.hpp>

namespace vanillalever::entry {

void HttpReply::SendToken(const std::string& text) {
  if (!stream_)
    return;
  exchange_->StartEvents();
  exchange_->SendEvent(
      "token", nlohmann::json{{"text", text}}.dump(
                   -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void HttpReply::SendReset() {
  if (exchange_->streaming())
    exchange_->SendEvent("reset", "{}");
}

void HttpReply::SendFinal(int status, std::string body) {
  if (stream_ && status == 200) {
    exchange_->StartEvents();
    exchange_->SendEvent("done", body);
    return exchange_->Finish();
  }
  if (exchange_->streaming()) {
    exchange_->SendEvent("error", body);
    return exchange_->Finish();
  }
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  exchange_->Send(std::move(response));
}

void HttpReply::SendError(const base::ErrorInfo& info) {
  exchange_->SendError(info);
}

void ForwardReply::SendFinal(int status, std::string body) {
  protocol::ForwardResult result;
  result.status = static_cast<std::uint32_t>(status);
  result.body = std::move(body);
  responder_.done(std::move(result));
}

void ForwardReply::SendError(const base::ErrorInfo& info) {
  protocol::ForwardResult result;
  result.error = info;
  responder_.done(std::move(result));
}

}  // namespace vanillalever::entry
