#ifndef VANILLALEVER_FORWARDING_CALLER_SESSION_H_
#define VANILLALEVER_FORWARDING_CALLER_SESSION_H_

#include <cstddef>
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
#include "vanillalever/memory/account.h"

namespace vanillalever::forwarding {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Sends the response to one request: either SendResponse(), or StartStream(),
// SendChunk()... and FinishStream(), or StartBody(), SendBody()... and
// FinishBody(). Abort() may be called at any time.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // The response to a HEAD has no body; `fields` state the length, if any.
  virtual void SendResponse(int status,
                            const HttpFields& fields,
                            std::string_view body) = 0;
  virtual void StartStream(int status, const HttpFields& fields) = 0;
  virtual void SendChunk(std::string_view data) = 0;
  virtual void FinishStream() = 0;
  // Starts a response of `length` bytes, which the caller may read until
  // `deadline`.
  virtual void StartBody(int status,
                         const HttpFields& fields,
                         std::uint64_t length,
                         base::TimePoint deadline) = 0;
  // Returns whether more may be sent at once. If not, the request's
  // OnOutputDrained() tells when.
  virtual bool SendBody(std::string_view data) = 0;
  // All of the declared length has been sent.
  virtual void FinishBody() = 0;
  // The request holds this many bytes of a response that it has not sent yet.
  virtual void OnBuffered(std::size_t bytes) = 0;
  // Closes the connection, so that the caller sees an incomplete response.
  virtual void Abort() = 0;
};

// Session's interface to a request in progress.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;
  // The connection has ended; the response cannot be delivered.
  virtual void OnCallerDisconnected(std::string_view reason) = 0;
  // The process cannot go on with the request: ends the response as it can.
  virtual void OnEnding(std::string_view reason) = 0;
  // The caller has read enough for more to be sent, after SendBody() returned
  // false.
  virtual void OnOutputDrained() = 0;
};

class CallerSession;

// What a session does with its requests.
enum class SessionMode {
  kServe,
  kReject,  // the gateway has as many connections as it can serve
};

// Interface of sessions to the gateway. Outlives them.
class SessionDelegate {
 public:
  virtual ~SessionDelegate() = default;
  // Starts a request. The session keeps the result until the response ends.
  virtual std::shared_ptr<ActiveRequest> OnRequest(
      CallerRequest request,
      std::shared_ptr<ResponseSink> sink,
      SessionMode mode) = 0;
  virtual void OnSessionEnded(CallerSession* session) = 0;
  // Current limits.
  virtual const IngressLimits& ingress_limits() const = 0;
  // Whether responses should carry "Connection: close".
  virtual bool closing() const = 0;
  // Account of what sessions hold.
  virtual std::shared_ptr<memory::Account> memory() const = 0;
};

// Caller's HTTP/1.1 connection, which processes one request at a time and keeps
// reading meanwhile to detect a disconnect at once. Event loop thread only.
//
// The end of a caller's input does not tell whether the caller has closed the
// connection or still waits for its response. The start of the status line, or
// leading zeros of the next chunk's size, are written then, one byte at a time:
// a caller that has closed resets the connection, which cancels its request.
class CallerSession final : public ResponseSink,
                            public memory::Holder,
                            public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket,
                SessionDelegate& delegate,
                SessionMode mode);

  void Start();
  // Closes the connection immediately.
  void Close(std::string_view reason);
  // Closes the connection unless a request is being read or processed or a
  // response written. Returns whether it is closed.
  bool CloseIfIdle(std::string_view reason);
  // The same, though the start of a request may have been read.
  bool CloseIfUnread(std::string_view reason);
  base::TimePoint started_at() const { return started_at_; }
  // Ends the request in progress, if any, with a response.
  void EndRequest(std::string_view reason);

  void SendResponse(int status,
                    const HttpFields& fields,
                    std::string_view body) override;
  void StartStream(int status, const HttpFields& fields) override;
  void SendChunk(std::string_view data) override;
  void FinishStream() override;
  void StartBody(int status,
                 const HttpFields& fields,
                 std::uint64_t length,
                 base::TimePoint deadline) override;
  bool SendBody(std::string_view data) override;
  void FinishBody() override;
  void OnBuffered(std::size_t bytes) override;
  void Abort() override;

  // memory::Holder:
  void OnResumed() override;
  void OnEnded(memory::Purpose purpose) override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(boost::system::error_code error, std::size_t size);
  // The caller sends nothing more, and may have closed the connection.
  void OnInputEnded();
  // Closes the connection once everything is written and read.
  void BeginClose();
  // Calls Close() when the caller resets the connection.
  void WatchForReset();
  // Makes a caller reset the connection if it has closed it.
  void ProbeCaller();
  void ArmProbe();
  // Discards input that arrives after the last request.
  void Discard();
  void ResetUserTimeout();
  void ParseBuffered();
  void OnParseError(boost::system::error_code error);
  void StartRequest();
  void EndResponse();
  void Write(std::string_view data);
  void FlushWrites();
  void WriteSome();
  void OnWritten(boost::system::error_code error, std::size_t size);
  // Output that the kernel has not accepted yet.
  std::size_t unsent_bytes() const;
  // Whether the caller has to read before more is produced for it.
  bool BackPressured();
  void NotifyIfDrained();
  // Takes up the next pipelined request, or closes the connection after the
  // last one.
  void StartNextRequest();
  void ArmTimer(base::Duration limit);
  void AppendHead(int status, const HttpFields& fields, std::string* text);
  void SendErrorResponse(int status);
  // Accounts for input and requests, and for output.
  void AccountInput();
  void AccountOutput();
  void Account(memory::Purpose purpose, std::size_t bytes);
  // Whether the rest of a body may be read now.
  bool MayReadBody();
  // Whether the body that is being read has grown since this was asked last.
  bool BodyProgresses();
  // Releases what the session holds, with a response if possible.
  void Release();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  SessionDelegate& delegate_;
  const SessionMode mode_;
  const base::TimePoint started_at_ = base::TimePoint::clock::now();
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::shared_ptr<ActiveRequest> request_;
  bool in_request_ = false;
  bool head_request_ = false;
  bool keep_alive_ = true;
  bool reading_ = false;
  bool writing_ = false;
  bool closing_ = false;
  bool closed_ = false;
  bool input_ended_ = false;
  // Bytes of the next status line or chunk size that are written already.
  std::size_t probes_ = 0;
  // The head of the current response is written; its body comes in chunks.
  bool head_written_ = false;
  bool chunked_ = false;
  // The next pipelined request is about to be taken up.
  bool next_request_posted_ = false;
  std::size_t discarded_bytes_ = 0;
  // When the connection is closed though its caller still sends.
  base::TimePoint discard_until_{};
  // Bytes of the current body when its timer was set.
  std::size_t body_at_timer_ = 0;
  // Bytes of the request in progress, and of its response that is not sent yet.
  std::size_t request_bytes_ = 0;
  std::size_t buffered_bytes_ = 0;
  memory::Holding holding_;
  std::string unsent_;
  std::string sending_;
  // Bytes of `sending_` that are written.
  std::size_t written_ = 0;
  // Something was written since the timer was set.
  bool write_progress_ = false;
  // More may be produced when the caller has read a part of the output.
  bool awaiting_drain_ = false;
  // The kernel gives up unread output later than for other connections.
  bool user_timeout_extended_ = false;
  // Incremented whenever the timer is set, to ignore stale expiries.
  std::uint64_t timer_generation_ = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_CALLER_SESSION_H_
