#include "session.h"

#include <algorithm>
#include <cctype>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "vanillalever/base/logging.h"

namespace vanillalever::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

// Time that a stopping server waits for a request on a kept connection.
constexpr base::Duration kStopIdleTimeout = base::seconds(1);
// Limits for the input that is read and discarded after the last response.
constexpr base::Duration kLingerTimeout = base::seconds(2);
constexpr std::size_t kMaxLingerBytes = 16 << 20;
constexpr std::size_t kDiscardBufferBytes = 8 << 10;

std::string ToLower(beast::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return result;
}

void ParseTarget(const std::string& target, Request& request) {
  std::size_t separator = target.find('?');
  request.path = target.substr(0, separator);
  while (separator != std::string::npos) {
    std::size_t next = target.find('&', separator + 1);
    std::string pair = target.substr(
        separator + 1, next == std::string::npos ? next : next - separator - 1);
    if (std::size_t equals = pair.find('='); equals != std::string::npos)
      request.query[pair.substr(0, equals)] = pair.substr(equals + 1);
    separator = next;
  }
}

std::string EncodeChunk(const std::string& data) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t remaining = data.size(); remaining > 0; remaining /= 16)
    size.insert(size.begin(), kDigits[remaining % 16]);
  return size + "\r\n" + data + "\r\n";
}

}  // namespace

Session::Session(std::shared_ptr<ServerState> server,
                 boost::asio::ip::tcp::socket socket)
    : server_(std::move(server)),
      stream_(std::move(socket)),
      input_timer_(stream_.get_executor()) {
  boost::system::error_code error;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
  if (auto remote = stream_.socket().remote_endpoint(error); !error)
    peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
  server_->account().Join(holding_, *this);
}

Session::~Session() {
  server_->account().Leave(holding_);
  if (request_in_flight_)
    server_->RequestEnded();
  server_->SessionEnded(this);
}

template <typename Function>
void Session::Post(Function function) {
  boost::asio::post(
      stream_.get_executor(),
      [self = shared_from_this(), function = std::move(function)]() mutable {
        function(*self);
      });
}

void Session::Start() {
  Post([](Session& self) { self.ReadRequest(); });
}

void Session::Refuse() {
  Post([](Session& self) {
    base::ErrorInfo info;
    info.code = base::ErrorCode::kUnavailable;
    info.message = "the server has reached its limit of connections";
    info.step = base::Step::kConnect;
    info.retry_after = base::seconds(1);
    self.keep_alive_ = false;
    self.WriteMessage(ErrorResponse(info));
  });
}

void Session::CloseWhenIdle() {
  Post([](Session& self) {
    if (self.waiting_for_request_)
      self.StartTimer(kStopIdleTimeout);
  });
}

void Session::Abort(const base::ErrorInfo& error) {
  Post([error](Session& self) {
    if (auto exchange = self.exchange_.lock())
      exchange->SendError(error);
  });
}

void Session::ReadRequest() {
  parser_.emplace();
  parser_->header_limit(server_->settings().max_header_bytes);
  parser_->body_limit(server_->settings().max_body_bytes);
  if (buffer_.size() == 0)
    return WaitForRequest();
  ReadHead();
}

void Session::WaitForRequest() {
  waiting_for_request_ = true;
  StartTimer(server_->stopping() ? kStopIdleTimeout
                                 : server_->settings().idle_timeout);
  stream_.async_read_some(
      buffer_.prepare(4096),
      [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
        self->OnFirstBytes(error, bytes);
      });
}

void Session::OnFirstBytes(beast::error_code error, std::size_t bytes) {
  waiting_for_request_ = false;
  if (error) {
    // A request that arrived with the end of the wait is still served.
    boost::system::error_code ignored;
    if (timed_out_ && stream_.socket().available(ignored) > 0)
      return WaitForRequest();
    return Close();
  }
  buffer_.commit(bytes);
  ReadHead();
}

void Session::ReadHead() {
  // The request timeout starts with the request's first byte.
  StartTimer(server_->settings().request_timeout);
  bhttp::async_read_header(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->OnHead(error);
      });
}

// Uses a separate timer, because the stream's own timeout would close the
// connection before a response could be sent.
void Session::StartTimer(base::Duration timeout) {
  stream_.expires_never();
  timed_out_ = false;
  input_timer_.expires_after(timeout);
  input_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        // A wait that has ended is not cancelled by a change of the expiry.
        if (error || !self ||
            self->input_timer_.expiry() > std::chrono::steady_clock::now())
          return;
        self->timed_out_ = true;
        if (std::exchange(self->waiting_, nullptr))
          return self->OnInputError({});
        self->stream_.cancel();
      });
}

void Session::StopTimer() {
  input_timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

// Sends an error response for invalid or incomplete input, or closes the
// connection if the client has closed it.
void Session::OnInputError(beast::error_code error) {
  if (timed_out_)
    return RejectInput(408, "the request did not arrive in time");
  if (error == bhttp::error::header_limit)
    return RejectInput(431, "request head exceeds its limit");
  if (error == bhttp::error::body_limit)
    return RejectInput(413, "request body exceeds its limit");
  if (error == bhttp::error::partial_message)
    return RejectInput(400, "the request ended early");
  if (error == bhttp::error::end_of_stream)
    return Close();
  static const auto& parse_errors =
      bhttp::make_error_code(bhttp::error::bad_method).category();
  if (error.category() == parse_errors)
    return RejectInput(400, "malformed HTTP: " + error.message());
  base::LogEvent(
      base::LogLevel::kInfo, "request_incomplete",
      {{"step", std::string(base::kStepNames.name(base::Step::kParse))},
       {"peer", peer_},
       {"reason", error.message()}});
  Close();
}

void Session::OnHead(beast::error_code error) {
  if (error || timed_out_)
    return OnInputError(error);
  if (ToLower(parser_->get()[bhttp::field::expect]) == "100-continue") {
    static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        stream_, boost::asio::buffer(kContinue, sizeof(kContinue) - 1),
        [self = shared_from_this()](beast::error_code failed, std::size_t) {
          if (failed)
            return self->Close();
          self->ReadBody();
        });
    return;
  }
  ReadBody();
}

void Session::ReadBody() {
  parser_->eager(true);
  if (parser_->is_done())
    return OnBody({});
  bhttp::async_read_some(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code error, std::size_t) {
        if (self->memory_ended_)
          return self->RejectForMemory();
        if (error || self->parser_->is_done())
          return self->OnBody(error);
        if (self->AccountBody(self->parser_->get().body().size()))
          self->ReadBody();
      });
}

void Session::OnBody(beast::error_code error) {
  if (error)
    return OnInputError(error);
  // Of the handler from now on.
  memory_ended_ = !server_->account().Set(*holding_, memory::Purpose::kRequest,
                                          0, base::TimePoint::clock::now());
  if (memory_ended_)
    return RejectForMemory();
  Dispatch();
}

void Session::Dispatch() {
  StopTimer();
  keep_alive_ = parser_->get().keep_alive();
  request_in_flight_ = true;
  server_->RequestStarted();
  Request request = TakeRequest();
  std::shared_ptr<Exchange> exchange;
  try {
    const Handler& handler = server_->router().Match(request);
    exchange =
        std::make_shared<Exchange>(std::move(request), shared_from_this());
    exchange_ = exchange;
    if (auto refusal = server_->refusal())
      return exchange->SendError(*refusal);
    handler(exchange);
  } catch (const base::Error& error) {
    SendErrorResponse(exchange, error.info());
  } catch (const std::exception& error) {
    base::ErrorInfo info;
    info.message = error.what();
    info.step = base::Step::kAdmit;
    info.ran = base::ExecutionStatus::kUnknown;
    SendErrorResponse(exchange, info);
  }
}

void Session::SendErrorResponse(const std::shared_ptr<Exchange>& exchange,
                                const base::ErrorInfo& info) {
  if (exchange)
    exchange->SendError(info);
  else
    WriteMessage(ErrorResponse(info));
}

Request Session::TakeRequest() {
  auto message = parser_->release();
  Request request;
  request.method = std::string(message.method_string());
  ParseTarget(std::string(message.target()), request);
  for (const auto& field : message)
    request.headers[ToLower(field.name_string())] = std::string(field.value());
  request.body = std::move(message.body());
  request.peer = peer_;
  return request;
}

void Session::RejectInput(int status, const std::string& message) {
  base::ErrorInfo info;
  info.code = status == 413 || status == 431 ? base::ErrorCode::kTooLarge
                                             : base::ErrorCode::kInvalidRequest;
  info.message = message;
  if (status == 503) {
    info.code = base::ErrorCode::kUnavailable;
    info.retry_after = base::seconds(1);
  }
  Response response = ErrorResponse(info);
  response.status = status;
  StopTimer();
  keep_alive_ = false;
  // The connection may stay open until its input ends.
  parser_.reset();
  AccountBody(0);
  WriteMessage(std::move(response));
}

void Session::Send(Response response) {
  Post([response = std::move(response)](Session& self) mutable {
    self.WriteMessage(std::move(response));
  });
}

void Session::StartStream(Response head) {
  Post([head = std::move(head)](Session& self) { self.WriteHead(head); });
}

void Session::Write(std::string data) {
  if (data.empty())
    return;
  Post([data = std::move(data)](Session& self) {
    self.Enqueue(EncodeChunk(data), false);
  });
}

void Session::Finish() {
  Post([](Session& self) { self.Enqueue("0\r\n\r\n", true); });
}

template <typename Body>
void Session::FillHead(bhttp::response<Body>& message,
                       const Response& response) {
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  message.set(bhttp::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers)
    message.set(name, value);
  keep_alive_ = keep_alive_ && !server_->stopping();
  message.keep_alive(keep_alive_);
}

void Session::WriteMessage(Response response) {
  auto message = std::make_shared<Message>();
  FillHead(*message, response);
  message->body() = std::move(response.body);
  message->prepare_payload();
  AccountOutput(message->body().size());
  WriteSome(std::make_shared<bhttp::response_serializer<bhttp::string_body>>(
                *message),
            message);
}

// The time limit is that of one write, so that it does not end the response of
// a client that reads a large body steadily.
template <typename Serializer>
void Session::WriteSome(std::shared_ptr<Serializer> serializer,
                        std::shared_ptr<Message> message) {
  stream_.expires_after(server_->settings().write_timeout);
  bhttp::async_write_some(stream_, *serializer,
                          [self = shared_from_this(), serializer, message](
                              beast::error_code error, std::size_t) {
                            if (!error && !serializer->is_done())
                              return self->WriteSome(serializer, message);
                            self->stream_.expires_never();
                            self->AccountOutput(0);
                            if (error)
                              self->OnWriteError(error.message());
                            self->OnResponseComplete();
                          });
}

void Session::WriteHead(const Response& response) {
  auto message = std::make_shared<Head>();
  FillHead(*message, response);
  message->chunked(true);
  auto serializer =
      std::make_shared<bhttp::response_serializer<bhttp::empty_body>>(*message);
  writing_ = true;
  stream_.expires_after(server_->settings().write_timeout);
  bhttp::async_write_header(
      stream_, *serializer,
      [self = shared_from_this(), message, serializer](
          beast::error_code error, std::size_t) { self->OnWritten(error); });
}

void Session::Enqueue(std::string data, bool end_of_stream) {
  end_queued_ = end_queued_ || end_of_stream;
  if (!connection_failed_) {
    unsent_bytes_ += data.size();
    unsent_.push_back(std::move(data));
    AccountOutput(unsent_bytes_ + being_written_);
  }
  if (unsent_bytes_ > server_->settings().max_unsent_bytes) {
    OnWriteError("the client does not read its response");
    boost::system::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                              ignored);
  }
  if (!writing_)
    WriteNext();
}

void Session::WriteNext() {
  if (connection_failed_) {
    unsent_.clear();
    unsent_bytes_ = 0;
  }
  if (unsent_.empty()) {
    if (end_queued_)
      OnResponseComplete();
    return;
  }
  auto data = std::make_shared<std::string>();
  for (std::string& chunk : unsent_)
    data->append(chunk);
  unsent_.clear();
  unsent_bytes_ = 0;
  being_written_ = data->size();
  writing_ = true;
  stream_.expires_after(server_->settings().write_timeout);
  boost::asio::async_write(
      stream_, boost::asio::buffer(*data),
      [self = shared_from_this(), data](beast::error_code error, std::size_t) {
        self->OnWritten(error);
      });
}

void Session::OnWritten(beast::error_code error) {
  writing_ = false;
  being_written_ = 0;
  AccountOutput(unsent_bytes_);
  stream_.expires_never();
  if (error)
    OnWriteError(error.message());
  WriteNext();
}

// The response can't be completed; further data is discarded.
void Session::OnWriteError(const std::string& reason) {
  if (std::exchange(connection_failed_, true))
    return;
  base::LogEvent(
      base::LogLevel::kWarning, "response_cut",
      {{"step", std::string(base::kStepNames.name(base::Step::kAnswer))},
       {"peer", peer_},
       {"reason", reason}});
}

void Session::OnResponseComplete() {
  end_queued_ = false;
  if (std::exchange(request_in_flight_, false))
    server_->RequestEnded();
  if (connection_failed_)
    return Close();
  if (!keep_alive_)
    return StartLingeringClose();
  ReadRequest();
}

// Shuts down the sending side, then reads and discards input until the client
// closes. Closing a socket with unread input would reset the connection, and
// the client could lose the response.
void Session::StartLingeringClose() {
  boost::system::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
  stream_.expires_after(kLingerTimeout);
  DiscardInput(kMaxLingerBytes);
}

void Session::DiscardInput(std::size_t limit) {
  buffer_.clear();
  stream_.async_read_some(buffer_.prepare(kDiscardBufferBytes),
                          [self = shared_from_this(), limit](
                              beast::error_code error, std::size_t bytes) {
                            if (error || bytes >= limit)
                              return self->Close();
                            self->DiscardInput(limit - bytes);
                          });
}

void Session::Close() {
  waiting_for_request_ = false;
  boost::system::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
  stream_.close();
  StopTimer();
  server_->SessionEnded(this);
}

}  // namespace vanillalever::http
