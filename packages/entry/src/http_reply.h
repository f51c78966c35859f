#ifndef VANILLALEVER_ENTRY_SRC_HTTP_REPLY_H_
#define VANILLALEVER_ENTRY_SRC_HTTP_REPLY_H_

#include <memory>
#include <string>
#include <utility>

#include "caller_reply.h"
#include "vanillalever/http/exchange.h"
#include "vanillalever/protocol/node_handler.h"

namespace vanillalever::entry {

// Replies to an HTTP request, with server-sent events if the caller requested
// streaming.
class HttpReply final : public CallerReply {
 public:
  HttpReply(std::shared_ptr<http::Exchange> exchange, bool stream)
      : exchange_(std::move(exchange)), stream_(stream) {}

  void SendToken(const std::string& text) override;
  void SendReset() override;

 protected:
  void SendFinal(int status, std::string body) override;
  void SendError(const base::ErrorInfo& info) override;

 private:
  std::shared_ptr<http::Exchange> exchange_;
  const bool stream_;
};

// Replies to a request that another entry forwarded.
class ForwardReply final : public CallerReply {
 public:
  explicit ForwardReply(protocol::Responder<protocol::ForwardResult> responder)
      : responder_(std::move(responder)) {}

  void SendToken(const std::string& text) override { responder_.token(text); }
  void SendReset() override { responder_.reset(); }

 protected:
  void SendFinal(int status, std::string body) override;
  void SendError(const base::ErrorInfo& info) override;

 private:
  protocol::Responder<protocol::ForwardResult> responder_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_HTTP_REPLY_H_
