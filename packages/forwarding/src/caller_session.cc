#include "vanillalever/forwarding/caller_session.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/server_request.h"
#include "vanillalever/http/socket_options.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadSizeBytes = 8192;
// Pipelined input read while a request is in progress; more stays in the
// kernel's buffer.
constexpr std::size_t kMaxReadAheadBytes = 64 << 10;
// A caller that does not read its events is disconnected when its unsent output
// exceeds this.
constexpr std::size_t kMaxUnsentBytes = 4 << 20;
// Larger buffers are released when they are written.
constexpr std::size_t kMaxKeptBufferBytes = 16 << 10;
// Added to the idle timeout, so that a request sent just before the timeout
// does not race with the close.
constexpr base::milliseconds kIdleSlack{1000};
// For a caller whose request was refused before it was complete.
constexpr const char* kRetryAfterSeconds = "1";
// Start of all responses. No byte of it tells the status.
constexpr std::string_view kStatusLineStart = "HTTP/1.1 ";
// Interval between two probes of a caller that sends nothing more.
constexpr base::milliseconds kProbeInterval{200};
// Leading zeros of a chunk's size, which serve as probes within a stream.
constexpr std::size_t kMaxChunkProbes = 8;
// Time without input after which a connection is closed whose last response is
// sent. Closing a socket with unread input would reset the connection, and the
// caller could lose the response.
constexpr base::milliseconds kLingerTime{2000};
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;
// Time after which such a connection is closed in any case.
constexpr base::milliseconds kMaxDiscardTime{30000};
// A caller beyond the limit of connections that sends no request is
// disconnected after this time.
constexpr base::milliseconds kRejectedIdleTimeout{1000};

void AppendChunk(std::string_view data, std::string* text) {
  char size[20];
  int length = std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  text->append(size, static_cast<std::size_t>(length));
  text->append(data);
  text->append("\r\n");
}

}  // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket,
                             SessionDelegate& delegate,
                             SessionMode mode)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      delegate_(delegate),
      mode_(mode),
      holding_(delegate.memory(), *this) {}

void CallerSession::Start() {
  vanillalever::http::ConfigureSocket(socket_);
  ResetUserTimeout();
  ArmTimer(mode_ == SessionMode::kServe
               ? delegate_.ingress_limits().idle_timeout + kIdleSlack
               : kRejectedIdleTimeout);
  Read();
}

// The kernel also ends connections whose peer acknowledges but does not read:
// that is decided by the timer, so later here.
void CallerSession::ResetUserTimeout() {
  vanillalever::http::SetUserTimeout(
      socket_, 2 * (delegate_.ingress_limits().idle_timeout + kIdleSlack));
}

void CallerSession::ArmTimer(base::Duration limit) {
  std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(limit);
  timer_.async_wait([weak = weak_from_this(), generation,
                     limit](boost::system::error_code error) {
    auto self = weak.lock();
    if (error || !self || self->closed_ ||
        self->timer_generation_ != generation || self->in_request_)
      return;
    if (self->writing_) {
      if (std::exchange(self->write_progress_, false))
        return self->ArmTimer(limit);
      return self->Close("the caller does not read its response");
    }
    if (self->BodyProgresses())
      return self->ArmTimer(limit);
    bool started = self->parser_ && self->parser_->got_some();
    if (started && !self->closing_)
      self->SendErrorResponse(static_cast<int>(http::status::request_timeout));
    else
      self->Close("idle");
  });
}

void CallerSession::Read() {
  if (reading_ || closed_ || input_ended_ ||
      buffer_.size() > kMaxReadAheadBytes || !MayReadBody())
    return;
  reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadSizeBytes),
                          [self = shared_from_this()](
                              boost::system::error_code error,
                              std::size_t size) { self->OnRead(error, size); });
}

void CallerSession::OnRead(boost::system::error_code error, std::size_t size) {
  reading_ = false;
  if (closed_)
    return;
  if (error == boost::asio::error::eof)
    return OnInputEnded();
  if (error)
    return Close(error.message());
  buffer_.commit(size);
  if (closing_)
    Discard();
  else if (!in_request_)
    ParseBuffered();
  AccountInput();
  Read();
}

void CallerSession::OnInputEnded() {
  input_ended_ = true;
  WatchForReset();
  if (in_request_)
    ProbeCaller();
  else
    StartNextRequest();
}

void CallerSession::Discard() {
  discarded_bytes_ += buffer_.size();
  buffer_.consume(buffer_.size());
  if (!writing_ && discarded_bytes_ < kMaxDiscardedBytes &&
      base::TimePoint::clock::now() < discard_until_)
    ArmTimer(kLingerTime);
}

void CallerSession::BeginClose() {
  closing_ = true;
  discard_until_ = base::TimePoint::clock::now() + kMaxDiscardTime;
  ArmTimer(delegate_.ingress_limits().idle_timeout + kIdleSlack);
  FlushWrites();
}

void CallerSession::WatchForReset() {
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_error,
                     [weak = weak_from_this()](boost::system::error_code) {
                       auto self = weak.lock();
                       if (self && !self->closed_)
                         self->Close("the caller has left");
                     });
}

void CallerSession::ProbeCaller() {
  if (!in_request_ || closed_)
    return;
  // Output that is being written shows by itself whether the caller has left.
  if (writing_)
    return ArmProbe();
  if (!head_written_ && probes_ < kStatusLineStart.size())
    Write(kStatusLineStart.substr(probes_, 1));
  else if (chunked_ && probes_ < kMaxChunkProbes)
    Write("0");
  else
    return;
  ++probes_;
  ArmProbe();
}

void CallerSession::ArmProbe() {
  std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(kProbeInterval);
  timer_.async_wait(
      [weak = weak_from_this(), generation](boost::system::error_code error) {
        auto self = weak.lock();
        if (!error && self && self->timer_generation_ == generation)
          self->ProbeCaller();
      });
}

void CallerSession::ParseBuffered() {
  while (!in_request_ && !closing_ && !closed_ && buffer_.size() > 0 &&
         !BackPressured()) {
    const IngressLimits& limits = delegate_.ingress_limits();
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
      body_at_timer_ = 0;
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
  SendErrorResponse(static_cast<int>(status));
}

void CallerSession::SendErrorResponse(int status) {
  keep_alive_ = false;
  in_request_ = true;
  head_request_ = false;
  // The connection may stay open until its input ends.
  parser_.reset();
  HttpFields fields;
  if (status == static_cast<int>(http::status::service_unavailable))
    fields.set(http::field::retry_after, kRetryAfterSeconds);
  SendResponse(status, fields, "");
}

void CallerSession::StartRequest() {
  in_request_ = true;
  ++timer_generation_;
  timer_.cancel();
  CallerRequest request = parser_->release();
  parser_.reset();
  // Small bodies are copied for their server.
  std::size_t body = request.body().size();
  request_bytes_ = body + std::min(body, ServerRequest::kCopiedBytes);
  AccountInput();
  if (holding_.ended())
    return SendErrorResponse(
        static_cast<int>(http::status::service_unavailable));
  keep_alive_ = request.keep_alive() && mode_ == SessionMode::kServe;
  head_request_ = request.method() == http::verb::head;
  if (std::exchange(user_timeout_extended_, false))
    ResetUserTimeout();
  std::shared_ptr<ActiveRequest> started;
  try {
    started =
        delegate_.OnRequest(std::move(request), shared_from_this(), mode_);
  } catch (const std::exception& exception) {
    // Of this request: the process goes on.
    base::LogEvent(base::LogLevel::kError, "request_failed",
                   {{"step", "start"}, {"reason", exception.what()}});
    if (!in_request_ || head_written_)
      return Close("the request cannot be processed");
    return SendErrorResponse(static_cast<int>(http::status::bad_gateway));
  }
  // OnRequest() may already have completed the response.
  if (!in_request_)
    return;
  request_ = std::move(started);
  if (input_ended_)
    ProbeCaller();
}

void CallerSession::AppendHead(int status,
                               const HttpFields& fields,
                               std::string* text) {
  // Requests that have been read already are answered before the connection is
  // closed.
  if ((delegate_.closing() || input_ended_) && buffer_.size() == 0)
    keep_alive_ = false;
  text->append(kStatusLineStart.substr(std::exchange(probes_, 0)));
  text->append(std::to_string(status));
  text->append(" ");
  text->append(View(http::obsolete_reason(static_cast<http::status>(status))));
  text->append("\r\n");
  AppendFields(fields, text);
  if (!keep_alive_)
    text->append("Connection: close\r\n");
}

void CallerSession::SendResponse(int status,
                                 const HttpFields& fields,
                                 std::string_view body) {
  if (closed_)
    return;
  AppendHead(status, fields, &unsent_);
  bool has_body = status != 204 && status != 304 && !head_request_;
  if (has_body)
    unsent_.append("Content-Length: " + std::to_string(body.size()) + "\r\n");
  unsent_.append("\r\n");
  if (has_body)
    unsent_.append(body);
  buffered_bytes_ = 0;
  FlushWrites();
  AccountOutput();
  EndResponse();
}

void CallerSession::StartStream(int status, const HttpFields& fields) {
  if (closed_)
    return;
  std::string text;
  AppendHead(status, fields, &text);
  text.append("Transfer-Encoding: chunked\r\n\r\n");
  head_written_ = true;
  chunked_ = true;
  Write(text);
  if (input_ended_)
    ArmProbe();
}

void CallerSession::SendChunk(std::string_view data) {
  if (closed_ || data.empty())
    return;
  std::string text;
  AppendChunk(data, &text);
  probes_ = 0;
  Write(text);
  if (input_ended_)
    ArmProbe();
}

void CallerSession::FinishStream() {
  if (closed_)
    return;
  Write("0\r\n\r\n");
  EndResponse();
}

void CallerSession::Abort() {
  // A lenient parser would take zeros for the last chunk, not this size.
  if (chunked_ && probes_ > 0)
    Write("1");
  request_.reset();
  Close("response aborted");
}

void CallerSession::EndResponse() {
  in_request_ = false;
  head_written_ = false;
  chunked_ = false;
  probes_ = 0;
  request_bytes_ = 0;
  buffered_bytes_ = 0;
  AccountInput();
  // Destroyed after the stack has unwound: the request may be calling.
  boost::asio::post(socket_.get_executor(), [request = std::move(request_)] {});
  request_.reset();
  if (closed_)
    return;
  if (!keep_alive_)
    return BeginClose();
  ArmTimer(delegate_.ingress_limits().idle_timeout + kIdleSlack);
  next_request_posted_ = true;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->next_request_posted_ = false;
    if (!self->closed_ && !self->in_request_)
      self->StartNextRequest();
    self->Read();
  });
}

void CallerSession::Write(std::string_view data) {
  unsent_.append(data);
  if (unsent_.size() > kMaxUnsentBytes)
    return Close("the caller does not read its response");
  FlushWrites();
  AccountOutput();
}

void CallerSession::FlushWrites() {
  if (writing_ || closed_)
    return;
  if (unsent_.empty()) {
    if (!closing_)
      return;
    if (input_ended_)
      return Close("the response is sent");
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    buffer_.consume(buffer_.size());
    ArmTimer(kLingerTime);
    Read();
    return;
  }
  writing_ = true;
  written_ = 0;
  sending_.clear();
  sending_.swap(unsent_);
  WriteSome();
}

void CallerSession::WriteSome() {
  socket_.async_write_some(
      boost::asio::buffer(sending_) + written_,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t size) {
        self->OnWritten(error, size);
      });
}

void CallerSession::OnWritten(boost::system::error_code error,
                              std::size_t size) {
  if (closed_)
    return;
  if (error)
    return Close(error.message());
  written_ += size;
  write_progress_ = true;
  if (written_ < sending_.size()) {
    WriteSome();
  } else {
    writing_ = false;
    if (sending_.capacity() > kMaxKeptBufferBytes)
      sending_ = std::string();
    FlushWrites();
    AccountOutput();
  }
  NotifyIfDrained();
}

bool CallerSession::CloseIfIdle(std::string_view reason) {
  bool idle = !parser_ && buffer_.size() == 0;
  return (closed_ || idle) && CloseIfUnread(reason);
}

bool CallerSession::CloseIfUnread(std::string_view reason) {
  boost::system::error_code ignored;
  if (!in_request_ && !closing_ && !writing_ && socket_.available(ignored) == 0)
    Close(reason);
  return closed_;
}

void CallerSession::EndRequest(std::string_view reason) {
  auto self = shared_from_this();
  if (auto request = request_)
    request->OnEnding(reason);
}

void CallerSession::Close(std::string_view reason) {
  if (closed_)
    return;
  closed_ = true;
  auto self = shared_from_this();
  boost::system::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  if (auto request = std::exchange(request_, nullptr); request && in_request_)
    request->OnCallerDisconnected(reason);
  delegate_.OnSessionEnded(this);
}

}  // namespace vanillalever::forwarding
