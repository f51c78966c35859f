#ifndef VANILLALEVER_FORWARDING_CALLER_SESSION_H_
#define VANILLALEVER_FORWARDING_CALLER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/forwarding/wire_codec.h"

namespace vanillalever::forwarding {

// A caller's request as read.
using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Takes the answer to one request. Each request gets exactly one of: SendWhole;
// StartStream, SendPiece..., then FinishStream; or Abort at any time.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void SendWhole(int status,
                         const HttpFields& fields,
                         std::string_view body) = 0;
  virtual void StartStream(int status, const HttpFields& fields) = 0;
  virtual void SendPiece(std::string_view data) = 0;
  virtual void FinishStream() = 0;
  // Closes the connection, so that the caller sees an incomplete answer.
  virtual void Abort() = 0;
};

// A request in progress, as its session sees it.
class RequestInProgress {
 public:
  virtual ~RequestInProgress() = default;
  // The caller has left: nobody takes the answer.
  virtual void OnCallerLeft() = 0;
};

class CallerSession;

// What sessions need from the process. Outlives them.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  // Starts a request. The result is kept until its answer is complete.
  virtual std::shared_ptr<RequestInProgress> OnRequest(
      CallerRequest request,
      std::shared_ptr<ResponseSink> sink) = 0;
  virtual void OnSessionEnded(CallerSession* session) = 0;
  // Limits in force.
  virtual const IngressLimits& ingress_limits() const = 0;
  // Whether answers should ask the caller to use another connection.
  virtual bool closing() const = 0;
};

// One caller's connection: reads requests one after the other and writes their
// answers. Notices at once when the caller leaves. Event loop's thread only.
class CallerSession final : public ResponseSink,
                            public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket, SessionOwner& owner);

  void Start();
  // Closes the connection now.
  void Close(std::string_view reason);
  // No request is read, in progress or being answered.
  bool idle() const {
    return !in_request_ && !parser_ && buffer_.size() == 0 && !writing_;
  }

  void SendWhole(int status,
                 const HttpFields& fields,
                 std::string_view body) override;
  void StartStream(int status, const HttpFields& fields) override;
  void SendPiece(std::string_view data) override;
  void FinishStream() override;
  void Abort() override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(boost::system::error_code error, std::size_t size);
  void ParseBuffered();
  void OnParseError(boost::system::error_code error);
  void StartRequest();
  void EndAnswer();
  void Write(std::string_view data);
  void FlushWrites();
  void OnWritten(boost::system::error_code error);
  void ArmTimer(base::Duration limit);
  void AppendHead(int status, const HttpFields& fields, std::string* text);
  void AnswerBadRequest(int status);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  SessionOwner& owner_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::shared_ptr<RequestInProgress> request_;
  bool in_request_ = false;
  bool head_request_ = false;
  bool keep_alive_ = true;
  bool reading_ = false;
  bool writing_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::string unsent_;
  std::string sending_;
  // Counts timer uses, so that a late expiry is recognised.
  std::uint64_t timer_use_ = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_CALLER_SESSION_H_
