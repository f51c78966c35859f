#include "vanillalever/forwarding/caller_session.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "vanillalever/forwarding/socket_options.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;

// Bytes read at a time.
constexpr std::size_t kReadSize = 8192;
// Bytes of further requests that are read while one is in progress; more stay
// in the kernel's buffer.
constexpr std::size_t kMaxReadAhead = 64 << 10;
// Bytes waiting for a caller that does not read; beyond that its connection is
// closed.
constexpr std::size_t kMaxUnsent = 4 << 20;
// Added to the idle limit, so that a caller that uses the whole limit does not
// meet a closing connection.
constexpr base::milliseconds kIdleSlack{1000};

void AppendChunk(std::string_view data, std::string* text) {
  char size[20];
  int length = std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  text->append(size, static_cast<std::size_t>(length));
  text->append(data);
  text->append("\r\n");
}

}  // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket,
                             SessionOwner& owner)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      owner_(owner) {}

void CallerSession::Start() {
  ConfigureSocket(socket_);
  ArmTimer(owner_.ingress_limits().idle_timeout + kIdleSlack);
  Read();
}

void CallerSession::ArmTimer(base::Duration limit) {
  std::uint64_t use = ++timer_use_;
  timer_.expires_after(limit);
  timer_.async_wait([weak = weak_from_this(),
                     use](boost::system::error_code error) {
    auto self = weak.lock();
    if (error || !self || self->closed_ || self->timer_use_ != use ||
        self->in_request_)
      return;
    bool started = self->parser_ && self->parser_->got_some();
    if (started)
      self->AnswerBadRequest(static_cast<int>(http::status::request_timeout));
    else
      self->Close("idle");
  });
}

void CallerSession::Read() {
  if (reading_ || closed_ || buffer_.size() > kMaxReadAhead)
    return;
  reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadSize),
                          [self = shared_from_this()](
                              boost::system::error_code error,
                              std::size_t size) { self->OnRead(error, size); });
}

void CallerSession::OnRead(boost::system::error_code error, std::size_t size) {
  reading_ = false;
  if (closed_)
    return;
  if (error)
    return Close(error.message());
  buffer_.commit(size);
  if (!in_request_ && !closing_)
    ParseBuffered();
  Read();
}

void CallerSession::ParseBuffered() {
  while (!in_request_ && !closing_ && !closed_ && buffer_.size() > 0) {
    const IngressLimits& limits = owner_.ingress_limits();
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->header_limit(limits.header_bytes);
      parser_->body_limit(limits.body_bytes);
      ArmTimer(limits.header_timeout);
    }
    boost::system::error_code error;
    bool had_header = parser_->is_header_done();
    std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more)
      return OnParseError(error);
    if (!had_header && parser_->is_header_done() && !parser_->is_done()) {
      ArmTimer(limits.idle_timeout);
      if (parser_->get()[http::field::expect] == "100-continue")
        Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (parser_->is_done())
      return StartRequest();
    if (error == http::error::need_more)
      return;
  }
}

void CallerSession::OnParseError(boost::system::error_code error) {
  http::status status = http::status::bad_request;
  if (error == http::error::header_limit)
    status = http::status::request_header_fields_too_large;
  if (error == http::error::body_limit)
    status = http::status::payload_too_large;
  AnswerBadRequest(static_cast<int>(status));
}

void CallerSession::AnswerBadRequest(int status) {
  keep_alive_ = false;
  in_request_ = true;
  head_request_ = false;
  SendWhole(status, HttpFields(), "");
}

void CallerSession::StartRequest() {
  in_request_ = true;
  ++timer_use_;
  timer_.cancel();
  CallerRequest request = parser_->release();
  parser_.reset();
  keep_alive_ = request.keep_alive();
  head_request_ = request.method() == http::verb::head;
  auto started = owner_.OnRequest(std::move(request), shared_from_this());
  // The answer may already be complete.
  if (in_request_)
    request_ = std::move(started);
}

void CallerSession::AppendHead(int status,
                               const HttpFields& fields,
                               std::string* text) {
  if (owner_.closing())
    keep_alive_ = false;
  text->append("HTTP/1.1 ");
  text->append(std::to_string(status));
  text->append(" ");
  text->append(View(http::obsolete_reason(static_cast<http::status>(status))));
  text->append("\r\n");
  AppendFields(fields, text);
  if (!keep_alive_)
    text->append("Connection: close\r\n");
}

void CallerSession::SendWhole(int status,
                              const HttpFields& fields,
                              std::string_view body) {
  if (closed_)
    return;
  std::string text;
  AppendHead(status, fields, &text);
  bool has_body = status != 204 && status != 304;
  if (has_body)
    text.append("Content-Length: " + std::to_string(body.size()) + "\r\n");
  text.append("\r\n");
  if (has_body && !head_request_)
    text.append(body);
  Write(text);
  EndAnswer();
}

void CallerSession::StartStream(int status, const HttpFields& fields) {
  if (closed_)
    return;
  std::string text;
  AppendHead(status, fields, &text);
  text.append("Transfer-Encoding: chunked\r\n\r\n");
  Write(text);
}

void CallerSession::SendPiece(std::string_view data) {
  if (closed_ || data.empty())
    return;
  std::string text;
  AppendChunk(data, &text);
  Write(text);
}

void CallerSession::FinishStream() {
  if (closed_)
    return;
  Write("0\r\n\r\n");
  EndAnswer();
}

void CallerSession::Abort() {
  request_.reset();
  Close("answer broken off");
}

void CallerSession::EndAnswer() {
  in_request_ = false;
  // Kept until the stack has unwound: the request may be the caller.
  boost::asio::post(socket_.get_executor(), [request = std::move(request_)] {});
  request_.reset();
  if (closed_)
    return;
  if (!keep_alive_) {
    closing_ = true;
    FlushWrites();
    return;
  }
  ArmTimer(owner_.ingress_limits().idle_timeout + kIdleSlack);
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_ && !self->in_request_)
      self->ParseBuffered();
    self->Read();
  });
}

void CallerSession::Write(std::string_view data) {
  unsent_.append(data);
  if (unsent_.size() > kMaxUnsent)
    return Close("the caller does not read its answer");
  FlushWrites();
}

void CallerSession::FlushWrites() {
  if (writing_ || closed_)
    return;
  if (unsent_.empty()) {
    if (closing_) {
      boost::system::error_code ignored;
      socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
      ArmTimer(base::milliseconds(500));
    }
    return;
  }
  writing_ = true;
  sending_.clear();
  sending_.swap(unsent_);
  boost::asio::async_write(
      socket_, boost::asio::buffer(sending_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t) { self->OnWritten(error); });
}

void CallerSession::OnWritten(boost::system::error_code error) {
  writing_ = false;
  if (closed_)
    return;
  if (error)
    return Close(error.message());
  FlushWrites();
}

void CallerSession::Close(std::string_view) {
  if (closed_)
    return;
  closed_ = true;
  auto self = shared_from_this();
  boost::system::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  if (auto request = std::exchange(request_, nullptr); request && in_request_)
    request->OnCallerLeft();
  owner_.OnSessionEnded(this);
}

}  // namespace vanillalever::forwarding
