#ifndef VANILLALEVER_HTTP_SRC_SESSION_H_
#define VANILLALEVER_HTTP_SRC_SESSION_H_

#include <utility>

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "server_state.h"
#include "vanillalever/http/exchange.h"

namespace vanillalever::http {

// One connection of the server. All members are only used on the connection's
// strand; ResponseSink calls may come from any thread and are posted to it.
class Session : public ResponseSink,
                public memory::Holder,
                public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<ServerState> server,
          boost::asio::ip::tcp::socket socket);
  ~Session() override;

  void Start();
  // Sends a 503 response without reading a request, then closes the connection.
  void Refuse();
  // Closes the connection after its current response, or if it receives no
  // request for a short time. Call after the server has begun to stop.
  void CloseWhenIdle();
  // Answers the request in flight, if any, with `error`.
  void Abort(const base::ErrorInfo& error);

  // ResponseSink:
  void Send(Response response) override;
  void StartStream(Response head) override;
  void Write(std::string data) override;
  void Finish() override;

  // memory::Holder, called with the account's lock held:
  void OnResumed() override;
  void OnEnded(memory::Purpose purpose) override;

 private:
  using Message = boost::beast::http::response<boost::beast::http::string_body>;
  using Head = boost::beast::http::response<boost::beast::http::empty_body>;

  template <typename Function>
  void Post(Function function);

  void ReadRequest();
  void WaitForRequest();
  void OnFirstBytes(boost::beast::error_code error, std::size_t bytes);
  void ReadHead();
  void StartTimer(base::Duration timeout);
  void StopTimer();
  void OnInputError(boost::beast::error_code error);
  void OnHead(boost::beast::error_code error);
  void ReadBody();
  void OnBody(boost::beast::error_code error);
  // Accounts for the body that is being read. Returns whether to go on.
  bool AccountBody(std::size_t bytes);
  void AccountOutput(std::size_t bytes);
  void ReleaseMemory();
  void RejectForMemory();
  void Dispatch();
  Request TakeRequest();
  void SendErrorResponse(const std::shared_ptr<Exchange>& exchange,
                         const base::ErrorInfo& info);
  void RejectInput(int status, const std::string& message);
  void WriteMessage(Response response);
  template <typename Serializer>
  void WriteSome(std::shared_ptr<Serializer> serializer,
                 std::shared_ptr<Message> message);
  void WriteHead(const Response& response);
  void Enqueue(std::string data, bool end_of_stream);
  void WriteNext();
  void OnWritten(boost::beast::error_code error);
  void OnWriteError(const std::string& reason);
  void OnResponseComplete();
  void StartLingeringClose();
  void DiscardInput(std::size_t limit);
  void Close();
  template <typename Body>
  void FillHead(boost::beast::http::response<Body>& message,
                const Response& response);

  std::shared_ptr<ServerState> server_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  // The request being answered; expired if there is none.
  std::weak_ptr<Exchange> exchange_;
  std::string peer_;
  // Limits the wait for a request and for its rest.
  boost::asio::steady_timer input_timer_;
  bool timed_out_ = false;
  // Whether the client may send another request: what the request asked for,
  // then what the head of the response states.
  bool keep_alive_ = false;
  bool waiting_for_request_ = true;
  bool request_in_flight_ = false;
  bool writing_ = false;
  // Set if the connection is lost or the peer reads too slowly. Further data is
  // discarded.
  bool connection_failed_ = false;
  // Encoded chunks not yet written.
  std::deque<std::string> unsent_;
  std::size_t unsent_bytes_ = 0;
  // Bytes of the chunks that are being written.
  std::size_t being_written_ = 0;
  bool end_queued_ = false;
  // This session while its body waits for memory: nothing else keeps it then.
  std::shared_ptr<Session> waiting_;
  // The account has ended this session.
  bool memory_ended_ = false;
  // Set from the constructor to the destructor.
  std::optional<memory::Holding> holding_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_SESSION_H_
