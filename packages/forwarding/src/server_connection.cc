#include "vanillalever/forwarding/server_connection.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <limits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/http/address.h"
#include "vanillalever/http/connection_error.h"
#include "vanillalever/http/response_head.h"
#include "vanillalever/http/socket_options.h"

namespace vanillalever::forwarding {
namespace {

constexpr std::size_t kReadSizeBytes = 8192;
constexpr std::uint32_t kMaxHeaderBytes = 64 << 10;
// The connection fails after more than this many responses to other requests.
constexpr int kMaxSkippedResponses = 3;
// Input that the parser cannot use yet, for example an endless chunk header.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes + kReadSizeBytes;
// A connection is given up after this many refusals, all of which it remembers.
constexpr std::size_t kMaxRefusedRequests = 32;
constexpr int kFirstRedirectStatus = 300;

}  // namespace

ServerConnection::ServerConnection(boost::asio::io_context& context,
                                   const WireCodec& codec,
                                   std::string server_id)
    : socket_(context),
      connect_timer_(context),
      codec_(codec),
      server_id_(std::move(server_id)) {}

void ServerConnection::Open(const std::string& address,
                            base::Duration timeout,
                            ServerRequest request,
                            std::string request_id,
                            bool head_only,
                            ResponseHandler* handler) {
  request_ = std::move(request);
  request_id_ = std::move(request_id);
  head_only_ = head_only;
  handler_ = handler;
  auto endpoint = http::ParseAddress(address);
  if (!endpoint) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Fail("the server's address is malformed");
    });
    return;
  }
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->sent_ && !self->closed_)
          self->Fail("connect timed out");
      });
  socket_.async_connect(
      *endpoint, [self = shared_from_this()](boost::system::error_code error) {
        if (self->closed_)
          return;
        self->connect_timer_.cancel();
        self->refused_ = error == boost::asio::error::connection_refused;
        if (error)
          return self->Fail("connect: " + error.message());
        http::ConfigureSocket(self->socket_);
        self->Write();
        self->Read();
      });
}

void ServerConnection::Send(ServerRequest request,
                            std::string request_id,
                            bool head_only,
                            ResponseHandler* handler) {
  request_ = std::move(request);
  request_id_ = std::move(request_id);
  head_only_ = head_only;
  handler_ = handler;
  on_idle_closed_ = nullptr;
  Write();
  Read();
}

void ServerConnection::Write() {
  sent_ = true;
  writing_ = true;
  write_error_ = {};
  reusable_ = false;
  head_received_ = false;
  skipping_response_ = false;
  skipped_responses_ = 0;
  interim_responses_ = 0;
  paused_ = false;
  parser_.reset();
  boost::asio::async_write(
      socket_, request_.Buffers(),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t) { self->OnWritten(error); });
}

// A server may respond before it has read the whole request, so the response is
// read even if the write fails.
void ServerConnection::OnWritten(boost::system::error_code error) {
  writing_ = false;
  write_error_ = error;
  request_ = {};
  if (input_ended_)
    OnRead(boost::asio::error::eof, 0);
}

void ServerConnection::Read() {
  if (reading_ || closed_ || input_ended_)
    return;
  reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadSizeBytes),
                          [self = shared_from_this()](
                              boost::system::error_code error,
                              std::size_t size) { self->OnRead(error, size); });
}

void ServerConnection::OnRead(boost::system::error_code error,
                              std::size_t size) {
  reading_ = false;
  if (closed_)
    return;
  buffer_.commit(size);
  if (handler_ == nullptr) {
    // Idle: the server closed the connection or sent unsolicited data.
    auto on_closed = std::move(on_idle_closed_);
    Close();
    if (on_closed)
      on_closed();
    return;
  }
  auto self = shared_from_this();
  try {
    ReadResponse(error);
  } catch (const std::exception& exception) {
    // Of this response or its processing: the process goes on.
    base::LogEvent(base::LogLevel::kError, "response_failed",
                   {{"request", request_id_},
                    {"server", server_id_},
                    {"reason", exception.what()}});
    Fail("the response cannot be processed");
  }
}

void ServerConnection::ReadResponse(boost::system::error_code error) {
  if (error == boost::asio::error::eof && writing_)
    return EndWrite();
  if (error == boost::asio::error::eof &&
      http::TookConnectionError(write_error_))
    error = write_error_;
  if (error == boost::asio::error::eof)
    return OnEof();
  if (error)
    return Fail("read: " + error.message());
  if (!Parse())
    return;
  if (buffer_.size() > kMaxUnparsedBytes)
    return Fail("the response cannot be parsed");
  if (!paused_)
    Read();
}

void ServerConnection::ResumeReading() {
  paused_ = false;
  if (handler_ != nullptr)
    Read();
}

void ServerConnection::EndWrite() {
  input_ended_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void ServerConnection::OnEof() {
  auto self = shared_from_this();
  bool complete_at_eof = parser_ && parser_->is_header_done() &&
                         parser_->need_eof() && !skipping_response_;
  if (!complete_at_eof)
    return Fail(head_received_ ? "the response is incomplete"
                               : "the server closed the connection");
  boost::system::error_code error;
  parser_->put_eof(error);
  if (error)
    return Fail("the response is incomplete: " + error.message());
  Finish();
}

bool ServerConnection::Parse() {
  while (handler_ != nullptr && !closed_) {
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->header_limit(kMaxHeaderBytes);
      // Without a limit Boost 1.74 rejects a head that arrives before its body.
      parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
      parser_->skip(head_only_);
    }
    boost::system::error_code error;
    std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != boost::beast::http::error::need_more) {
      Fail("malformed response: " + error.message());
      return false;
    }
    if (!parser_->is_header_done())
      return true;
    if (!head_received_ && !skipping_response_ && !OnHead())
      return false;
    if (closed_ || handler_ == nullptr)
      return false;
    if (skipping_response_) {
      parser_->get().body().clear();
    } else if (std::string& body = parser_->get().body(); !body.empty()) {
      std::string data;
      data.swap(body);
      handler_->OnResponseBody(data);
      if (closed_ || handler_ == nullptr)
        return false;
    }
    if (parser_->is_done()) {
      if (!skipping_response_) {
        Finish();
        return false;
      }
      skipping_response_ = false;
      parser_.reset();
      if (buffer_.size() == 0)
        return true;
      continue;
    }
    if (error == boost::beast::http::error::need_more || buffer_.size() == 0)
      return true;
  }
  return false;
}

bool ServerConnection::OnHead() {
  const auto& message = parser_->get();
  int status = static_cast<int>(message.result_int());
  http::ResponseKind kind = http::ClassifyResponse(message, head_only_);
  if (http::IsUnusable(kind)) {
    Fail(std::string(http::kResponseKindNames.name(kind)));
    return false;
  }
  if (kind == http::ResponseKind::kInterim) {
    if (++interim_responses_ > http::kMaxInterimResponses) {
      Fail("too many interim responses");
      return false;
    }
    skipping_response_ = true;
    return true;
  }
  ResponseMetadata metadata = codec_.DecodeResponse(status, message);
  if (metadata.request_id != request_id_) {
    if (metadata.request_id.empty() || parser_->need_eof() ||
        ++skipped_responses_ > kMaxSkippedResponses) {
      Fail("the response belongs to another request");
      return false;
    }
    skipping_response_ = true;
    return true;
  }
  if (status < kFirstRedirectStatus && !metadata.authenticated) {
    Fail("the response lacks the server's proof of origin");
    return false;
  }
  if (metadata.not_run)
    refused_requests_.push_back(request_id_);
  head_received_ = true;
  idle_timeout_ = metadata.idle_timeout;
  handler_->OnResponseHead(status, message, metadata);
  return true;
}

void ServerConnection::Finish() {
  const auto& message = parser_->get();
  reusable_ = !writing_ && !write_error_ && message.keep_alive() &&
              buffer_.size() == 0 && !parser_->need_eof() &&
              refused_requests_.size() < kMaxRefusedRequests;
  idle_since_ = base::TimePoint::clock::now();
  auto* handler = std::exchange(handler_, nullptr);
  handler->OnResponseEnd();
}

bool ServerConnection::refused_request(const std::string& request_id) const {
  return std::find(refused_requests_.begin(), refused_requests_.end(),
                   request_id) != refused_requests_.end();
}

void ServerConnection::WatchIdle(std::function<void()> on_closed) {
  on_idle_closed_ = std::move(on_closed);
  buffer_.shrink_to_fit();
  Read();
}

void ServerConnection::Close() {
  if (closed_)
    return;
  closed_ = true;
  handler_ = nullptr;
  on_idle_closed_ = nullptr;
  connect_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void ServerConnection::Fail(const std::string& reason) {
  if (closed_)
    return;
  auto self = shared_from_this();
  auto* handler = std::exchange(handler_, nullptr);
  Close();
  if (handler != nullptr)
    handler->OnConnectionFailed(reason, sent_);
}

}  // namespace vanillalever::forwarding
