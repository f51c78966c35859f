#ifndef VANILLALEVER_ENTRY_SRC_HTTP_REPLY_H_
#define VANILLALEVER_ENTRY_SRC_HTTP_REPLY_H_

#include <memory>
#include <string>
#include <utility>

#include "caller_reply.h"
#include "vanillalever/http/exchange.h"
#include "vanillalever/protocol/node_handler.h"

namespace vanillalever::entry {

// Answers an HTTP request, with server-sent events if the caller asked for
// them.
class HttpReply final : public CallerReply {
 public:
  HttpReply(std::shared_ptr<http::Exchange> exchange, bool stream)
      : exchange_(std::move(exchange)), stream_(stream) {}

  void Token(const std::string& text) override;
  void Reset() override;

 protected:
  void SendFinal(int status, std::string body) override;
  void SendError(const base::ErrorInfo& info) override;

 private:
  std::shared_ptr<http::Exchange> exchange_;
  const bool stream_;
};

// Answers a request that another entry passed on.
class ForwardReply final : public CallerReply {
 public:
  explicit ForwardReply(protocol::Responder<protocol::ForwardResult> responder)
      : responder_(std::move(responder)) {}

  void Token(const std::string& text) override { responder_.token(text); }
  void Reset() override { responder_.reset(); }

 protected:
  void SendFinal(int status, std::string body) override;
  void SendError(const base::ErrorInfo& info) override;

 private:
  protocol::Responder<protocol::ForwardResult> responder_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_HTTP_REPLY_H_
