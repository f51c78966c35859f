#ifndef VANILLALEVER_FORWARDING_SERVER_CONNECTION_H_
#define VANILLALEVER_FORWARDING_SERVER_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/appended_body.h"
#include "vanillalever/forwarding/server_request.h"
#include "vanillalever/forwarding/wire_codec.h"

namespace vanillalever::forwarding {

// Receives the response to one request.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void OnResponseHead(int status,
                              const HttpFields& fields,
                              const ResponseMetadata& metadata) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  // The response is complete.
  virtual void OnResponseEnd() = 0;
  // `sent`: part of the request may have reached the server.
  virtual void OnConnectionFailed(const std::string& reason, bool sent) = 0;
};

// Connection to a backend server that carries one request at a time. Event loop
// thread only, callbacks included.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::io_context& context,
                   const WireCodec& codec,
                   std::string server_id);

  // Connects to "ip:port" and sends `request`.
  void Open(const std::string& address,
            base::Duration timeout,
            ServerRequest request,
            std::string request_id,
            bool head_only,
            ResponseHandler* handler);
  // Sends on an idle connection.
  void Send(ServerRequest request,
            std::string request_id,
            bool head_only,
            ResponseHandler* handler);
  // Reads no more of the response until ResumeReading(), so that the server has
  // to wait.
  void PauseReading() { paused_ = true; }
  void ResumeReading();
  // Whether the server has to wait for the caller.
  bool paused() const { return paused_; }
  // Closes the connection; the handler is not called afterwards.
  void Close();

  // Watches an idle connection. Calls `on_closed` once if the server closes it
  // or sends unsolicited data.
  void WatchIdle(std::function<void()> on_closed);

  // Whether the connection can carry another request.
  bool reusable() const { return reusable_; }
  // Whether the server refused this request on this connection before. A second
  // copy of that refusal could be taken for the answer to a repeated send.
  bool refused_request(const std::string& request_id) const;
  // Whether the server refused the connection: no process listens there.
  bool refused() const { return refused_; }
  // Whether the response, now complete, had neither a length nor chunks and
  // ended with the connection.
  bool ended_with_response() const { return parser_ && parser_->need_eof(); }
  const std::string& server_id() const { return server_id_; }
  // When the last response was completed.
  base::TimePoint idle_since() const { return idle_since_; }
  std::optional<base::seconds> idle_timeout() const { return idle_timeout_; }

 private:
  using Parser = boost::beast::http::response_parser<AppendedBody>;

  void Write();
  void OnWritten(boost::system::error_code error);
  void Read();
  void OnRead(boost::system::error_code error, std::size_t size);
  void ReadResponse(boost::system::error_code error);
  // The input ended before the write did. Goes on with OnWritten(), as the
  // write may have taken the error that ended the connection.
  void EndWrite();
  void OnEof();
  // Parses the buffer. Returns whether more input is needed.
  bool Parse();
  bool OnHead();
  void Finish();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  const WireCodec& codec_;
  std::string server_id_;
  // Released once it is written: what it shares may be large.
  ServerRequest request_;
  std::string request_id_;
  bool head_only_ = false;
  ResponseHandler* handler_ = nullptr;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::function<void()> on_idle_closed_;
  bool refused_ = false;
  bool sent_ = false;
  bool writing_ = false;
  // Result of the last write that has ended.
  boost::system::error_code write_error_;
  bool reading_ = false;
  bool input_ended_ = false;
  bool paused_ = false;
  bool head_received_ = false;
  // The response being read is informational or belongs to another request.
  bool skipping_response_ = false;
  int skipped_responses_ = 0;
  std::vector<std::string> refused_requests_;
  // Informational (1xx) responses to the present request.
  int interim_responses_ = 0;
  bool reusable_ = false;
  bool closed_ = false;
  base::TimePoint idle_since_{};
  std::optional<base::seconds> idle_timeout_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_CONNECTION_H_
