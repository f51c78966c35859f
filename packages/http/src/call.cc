#include "call.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/http/address.h"
#include "vanillalever/http/connection_error.h"
#include "vanillalever/http/response_head.h"
#include "vanillalever/http/socket_options.h"

namespace vanillalever::http {

namespace bhttp = boost::beast::http;

namespace {

// Whether the parser rejected what the server sent, rather than the connection
// having ended.
bool IsMalformed(const boost::system::error_code& error) {
  return error.category() ==
             make_error_code(bhttp::error::bad_value).category() &&
         error != bhttp::error::end_of_stream &&
         error != bhttp::error::partial_message;
}

}  // namespace

Call::Call(boost::asio::io_context& context,
           const ClientSettings& settings,
           std::shared_ptr<ConnectionPool> pool,
           std::shared_ptr<ResponseBudget> budget,
           ClientRequest request,
           DoneCallback on_done,
           DataCallback on_data)
    : context_(context),
      strand_(boost::asio::make_strand(context)),
      settings_(settings),
      pool_(std::move(pool)),
      budget_(std::move(budget)),
      request_(std::move(request)),
      on_done_(std::move(on_done)),
      on_data_(std::move(on_data)),
      deadline_timer_(context) {}

void Call::Start() {
  boost::asio::post(strand_,
                    [self = shared_from_this()] { self->StartOnStrand(); });
}

void Call::Cancel() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    self->Abort(base::ErrorCode::kUnavailable, "the request was cancelled");
  });
}

void Call::StartOnStrand() {
  started_at_ = base::TimePoint::clock::now();
  SetTimer(started_at_ + request_.timeout);
  if (!request_.new_connection) {
    Connection connection =
        pool_->Acquire(request_.address, base::TimePoint::clock::now());
    stream_ = std::move(connection.stream);
    opened_at_ = connection.opened_at;
  }
  reused_ = stream_ != nullptr;
  if (reused_)
    WriteRequest();
  else
    Connect();
}

void Call::SetTimer(base::TimePoint when) {
  deadline_timer_.expires_at(when);
  deadline_timer_.async_wait(boost::asio::bind_executor(
      strand_, [weak = weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (!error && self)
          self->OnTimeout();
      }));
}

void Call::Connect() {
  auto endpoint = ParseAddress(request_.address);
  if (!endpoint)
    return Fail(base::ErrorCode::kInvalidRequest,
                "'" + request_.address + "' is not an address ip:port");
  if (abort_error_)
    return OnFailure(boost::asio::error::operation_aborted);
  stream_ = std::make_unique<Stream>(context_);
  stream_->expires_after(settings_.connect_timeout);
  stream_->async_connect(
      *endpoint,
      boost::asio::bind_executor(strand_, [self = shared_from_this()](
                                              boost::system::error_code error) {
        self->OnConnect(error);
      }));
}

void Call::OnConnect(boost::system::error_code error) {
  if (error || abort_error_)
    return OnFailure(error);
  opened_at_ = base::TimePoint::clock::now();
  ConfigureSocket(stream_->socket());
  WriteRequest();
}

void Call::WriteRequest() {
  stream_->expires_never();
  message_ = {};
  message_.version(11);
  message_.method_string(request_.method);
  message_.target(request_.target);
  message_.set(bhttp::field::host, request_.address);
  for (const auto& [name, value] : request_.headers)
    message_.set(name, value);
  if (!request_.body.empty())
    message_.set(bhttp::field::content_type, request_.content_type);
  message_.body() = request_.body;
  message_.prepare_payload();
  sent_ = true;
  writing_ = true;
  bhttp::async_write(
      *stream_, message_,
      boost::asio::bind_executor(
          strand_, [self = shared_from_this()](boost::system::error_code error,
                                               std::size_t) {
            self->OnWritten(error);
          }));
  // A server may respond before it has read the whole request, and read no
  // more.
  ReadHead();
}

void Call::OnWritten(boost::system::error_code error) {
  writing_ = false;
  write_error_ = error;
  if (after_write_)
    std::exchange(after_write_, nullptr)();
}

void Call::EndWriteThen(std::function<void()> next) {
  after_write_ = std::move(next);
  stream_->close();
}

void Call::ReadHead() {
  parser_.emplace();
  parser_->body_limit(settings_.max_body_bytes);
  bhttp::async_read_header(
      *stream_, buffer_, *parser_,
      boost::asio::bind_executor(
          strand_,
          [self = shared_from_this()](boost::system::error_code error,
                                      std::size_t) { self->OnHead(error); }));
}

void Call::OnHead(boost::system::error_code error) {
  if (error)
    return OnFailure(error);
  OnArrival();
  ResponseKind kind = ClassifyResponse(parser_->get(), /*head_only=*/false);
  if (IsUnusable(kind))
    return RejectResponse(std::string(kResponseKindNames.name(kind)));
  if (kind == ResponseKind::kFinal)
    return ReadBody();
  if (++interim_responses_ > kMaxInterimResponses)
    return RejectResponse("too many interim responses");
  ReadHead();
}

void Call::ReadBody() {
  if (!TakeBody())
    return Fail(base::ErrorCode::kUnavailable,
                "the responses in progress are too large");
  OnArrival();
  DeliverData();
  if (parser_->is_done())
    return OnResponseEnd();
  bhttp::async_read_some(
      *stream_, buffer_, *parser_,
      boost::asio::bind_executor(
          strand_, [self = shared_from_this()](boost::system::error_code error,
                                               std::size_t) {
            self->OnBodyData(error);
          }));
}

void Call::OnBodyData(boost::system::error_code error) {
  if (error)
    return OnFailure(error);
  ReadBody();
}

void Call::OnResponseEnd() {
  if (parser_->need_eof() && writing_)
    return EndWriteThen([this] { OnResponseEnd(); });
  if (parser_->need_eof() && TookConnectionError(write_error_))
    return OnFailure(write_error_);
  Succeed();
}

bool Call::TakeBody() {
  std::size_t held = parser_->get().body().size();
  std::size_t added = held - std::exchange(held_bytes_, held);
  counted_bytes_ += added;
  return budget_->Take(added);
}

void Call::DeliverData() {
  auto& message = parser_->get();
  bool stream_body = on_data_ && message.result_int() / 100 == 2;
  if (!stream_body || message.body().empty() || abort_error_)
    return;
  std::string data;
  data.swap(message.body());
  held_bytes_ = 0;
  on_data_(data);
}

void Call::OnArrival() {
  last_arrival_ = base::TimePoint::clock::now();
  if (first_arrival_ == base::TimePoint{})
    first_arrival_ = last_arrival_;
  if (counted_bytes_ >= kLargeBytes)
    pool_->OnLargeResponse(request_.address,
                           last_arrival_ - first_arrival_ >= kSlowTime,
                           last_arrival_);
}

base::TimePoint Call::PatientUntil(base::TimePoint now) {
  if (!request_.patience || done_ || abort_error_)
    return now;
  // A part that waits to be read: this process was late, not the server.
  boost::system::error_code error;
  if (sent_ && stream_ && stream_->socket().available(error) > 0)
    last_arrival_ = now;
  const ResponsePatience& patience = *request_.patience;
  auto own =
      std::min(last_arrival_ + patience.stall, started_at_ + patience.total);
  auto behind =
      std::min(pool_->last_slow_response(request_.address) + patience.stall,
               started_at_ + request_.timeout + patience.behind_slow);
  return std::max(own, behind);
}

void Call::OnTimeout() {
  constexpr const char* kReason = "no answer in time";
  auto now = base::TimePoint::clock::now();
  if (auto until = PatientUntil(now); until > now)
    return SetTimer(until);
  if (sent_ && !done_ && !abort_error_)
    DropIdleConnections(kReason);
  Abort(base::ErrorCode::kTimeout, kReason);
}

void Call::DropIdleConnections(const std::string& reason) {
  std::size_t count = pool_->Drop(request_.address);
  if (count > 0)
    base::LogEvent(base::LogLevel::kWarning, "idle_connections_dropped",
                   {{"peer", request_.address},
                    {"connections", std::to_string(count)},
                    {"target", request_.target},
                    {"reason", reason}});
}

void Call::Abort(base::ErrorCode code, const std::string& message) {
  if (done_ || abort_error_)
    return;
  abort_error_.emplace();
  abort_error_->code = code;
  abort_error_->message = message;
  if (stream_)
    stream_->close();
}

void Call::OnFailure(const boost::system::error_code& error) {
  // The request may be sent again, by the same members.
  if (writing_)
    return EndWriteThen([this, error] { OnFailure(error); });
  if (error == boost::asio::error::timed_out && sent_)
    DropIdleConnections(error.message());
  // The server closed an idle keep-alive connection, and no part of a response
  // was received. The request can be sent again: callers use `new_connection`
  // for requests that must not be repeated.
  bool responded = interim_responses_ > 0 || (parser_ && parser_->got_some());
  bool closed_while_idle = reused_ && !abort_error_ && !responded;
  if (closed_while_idle) {
    reused_ = false;
    sent_twice_ = true;
    buffer_.clear();
    parser_.reset();
    return Connect();
  }
  if (abort_error_)
    return Fail(abort_error_->code, abort_error_->message);
  response_too_large_ = error == bhttp::error::body_limit;
  if (IsMalformed(error))
    return RejectResponse(error.message());
  Fail(base::ErrorCode::kUnavailable, error.message());
}

void Call::RejectResponse(const std::string& reason) {
  unusable_response_ = true;
  Fail(base::ErrorCode::kUnavailable, reason);
}

void Call::Succeed() {
  auto message = parser_->release();
  ClientResult result;
  result.sent_twice = sent_twice_;
  result.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    result.headers[name] = std::string(field.value());
  }
  result.body = std::move(message.body());
  bool reusable = !writing_ && !write_error_ && message.keep_alive() &&
                  buffer_.size() == 0 && !abort_error_;
  if (reusable)
    pool_->Release(request_.address, {std::move(stream_), opened_at_},
                   base::TimePoint::clock::now());
  Complete(std::move(result));
}

void Call::Fail(base::ErrorCode code, const std::string& message) {
  ClientResult result;
  result.sent_twice = sent_twice_;
  result.unusable_response = unusable_response_;
  result.too_large = response_too_large_;
  base::ErrorInfo info;
  info.code = code;
  info.message = message;
  info.peer = request_.address;
  info.step = sent_ ? base::Step::kRun : base::Step::kConnect;
  info.ran =
      sent_ ? base::ExecutionStatus::kUnknown : base::ExecutionStatus::kNotRun;
  result.error = std::move(info);
  Complete(std::move(result));
}

void Call::Complete(ClientResult result) {
  if (std::exchange(done_, true))
    return;
  deadline_timer_.cancel();
  stream_.reset();
  budget_->Return(std::exchange(counted_bytes_, 0));
  auto on_done = std::move(on_done_);
  on_data_ = nullptr;
  on_done(std::move(result));
}

}  // namespace vanillalever::http
