#ifndef VANILLALEVER_HTTP_SRC_CALL_H_
#define VANILLALEVER_HTTP_SRC_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "connection_pool.h"
#include "response_budget.h"
#include "vanillalever/http/client.h"

namespace vanillalever::http {

// One request of a Client. Its members are only used on its strand.
class Call : public ClientCall, public std::enable_shared_from_this<Call> {
 public:
  Call(boost::asio::io_context& context,
       const ClientSettings& settings,
       std::shared_ptr<ConnectionPool> pool,
       std::shared_ptr<ResponseBudget> budget,
       ClientRequest request,
       DoneCallback on_done,
       DataCallback on_data);

  void Start();
  void Cancel() override;

 private:
  void StartOnStrand();
  void Connect();
  void OnConnect(boost::system::error_code error);
  void WriteRequest();
  void OnWritten(boost::system::error_code error);
  // Ends the connection. Calls `next` when the write of the request has ended
  // with it, or with the error by which the connection was lost before.
  void EndWriteThen(std::function<void()> next);
  void ReadHead();
  void OnHead(boost::system::error_code error);
  void ReadBody();
  void OnBodyData(boost::system::error_code error);
  void OnResponseEnd();
  void SetTimer(base::TimePoint when);
  // A part of the response arrived.
  void OnArrival();
  // The response did not arrive in time.
  void OnTimeout();
  // Until when to wait for more of the response beyond the timeout; not later
  // than `now` if no longer.
  base::TimePoint PatientUntil(base::TimePoint now);
  // The connection is silent, and so may be the idle ones.
  void DropIdleConnections(const std::string& reason);
  void Abort(base::ErrorCode code, const std::string& message);
  void OnFailure(const boost::system::error_code& error);
  // Counts what has arrived of the body. Returns whether there is room for it.
  bool TakeBody();
  void DeliverData();
  void Succeed();
  void Fail(base::ErrorCode code, const std::string& message);
  // The server sent no usable response.
  void RejectResponse(const std::string& reason);
  void Complete(ClientResult result);

  boost::asio::io_context& context_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  ClientSettings settings_;
  std::shared_ptr<ConnectionPool> pool_;
  std::shared_ptr<ResponseBudget> budget_;
  ClientRequest request_;
  DoneCallback on_done_;
  DataCallback on_data_;

  boost::asio::steady_timer deadline_timer_;
  base::TimePoint started_at_{};
  // When the first and the last part of the response arrived.
  base::TimePoint first_arrival_{};
  base::TimePoint last_arrival_{};
  std::unique_ptr<Stream> stream_;
  base::TimePoint opened_at_{};
  // Input that the parser cannot use yet, for example an endless chunk header.
  static constexpr std::size_t kMaxUnparsedBytes = 128 << 10;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  // Bytes of a body from which on a response is large.
  static constexpr std::size_t kLargeBytes = 16 << 10;
  // Time after which a large response that still arrives is slow: it takes up
  // the link to its server, and other calls wait.
  static constexpr base::milliseconds kSlowTime{200};
  // Bytes of the body that count, and those of them that the parser holds.
  std::size_t counted_bytes_ = 0;
  std::size_t held_bytes_ = 0;
  boost::beast::http::request<boost::beast::http::string_body> message_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  // Informational (1xx) responses that preceded the one in `parser_`.
  int interim_responses_ = 0;
  bool sent_twice_ = false;
  bool unusable_response_ = false;
  bool response_too_large_ = false;
  bool reused_ = false;
  bool writing_ = false;
  std::function<void()> after_write_;
  // Result of the write of the request once it has ended.
  boost::system::error_code write_error_;
  // Whether a part of the request may have reached the server.
  bool sent_ = false;
  bool done_ = false;
  // Set if this side closed the connection: the error to report.
  std::optional<base::ErrorInfo> abort_error_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_CALL_H_
