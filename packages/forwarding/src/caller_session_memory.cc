// The part of a session that accounts for the bytes which it holds.

#include <string_view>

#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>

#include "vanillalever/forwarding/caller_session.h"

namespace vanillalever::forwarding {
namespace {

constexpr std::string_view kReason = "the memory for callers is used up";
// Empty input buffers above this size are released.
constexpr std::size_t kMaxKeptInputBytes = 16 << 10;
// A body of which less arrives within the idle timeout makes no progress.
constexpr std::size_t kMinBodyProgressBytes = 1 << 10;

}  // namespace

void CallerSession::AccountInput() {
  if (buffer_.size() == 0 && buffer_.capacity() > kMaxKeptInputBytes &&
      !reading_)
    buffer_.shrink_to_fit();
  std::size_t body = parser_ ? parser_->get().body().size() : 0;
  holding_.Set(memory::Purpose::kRequest,
               buffer_.size() + body + request_bytes_,
               base::TimePoint::clock::now());
}

void CallerSession::AccountOutput() {
  std::size_t sending = writing_ ? sending_.size() : 0;
  holding_.Set(memory::Purpose::kResponse,
               unsent_.size() + sending + buffered_bytes_,
               base::TimePoint::clock::now());
}

void CallerSession::OnBuffered(std::size_t bytes) {
  buffered_bytes_ = bytes;
  AccountOutput();
}

bool CallerSession::MayReadBody() {
  return !parser_ || !parser_->is_header_done() || !holding_.must_wait();
}

bool CallerSession::BodyProgresses() {
  if (!parser_ || !parser_->is_header_done() || closing_)
    return false;
  std::size_t size = parser_->get().body().size();
  bool progress = size >= body_at_timer_ + kMinBodyProgressBytes;
  body_at_timer_ = size;
  return progress;
}

void CallerSession::OnResumed() {
  boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->Read();
  });
}

void CallerSession::OnEnded(memory::Purpose /*purpose*/) {
  boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->Release();
  });
}

void CallerSession::Release() {
  if (closed_)
    return;
  keep_alive_ = false;
  if (unsent_bytes() > 0 || head_written_ || closing_)
    return Close(kReason);
  if (in_request_ && request_)
    return EndRequest(kReason);
  if (!in_request_ && parser_)
    return SendErrorResponse(
        static_cast<int>(boost::beast::http::status::service_unavailable));
  Close(kReason);
}

}  // namespace vanillalever::forwarding
