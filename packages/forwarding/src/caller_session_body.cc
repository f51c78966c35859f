// The part of a session that concerns output which a caller reads slowly.

#include <string>
#include <utility>

#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/http/socket_options.h"

namespace vanillalever::forwarding {
namespace {

// Output up to which more is produced before the caller has read it.
constexpr std::size_t kMaxPendingBytes = 256 << 10;
// Output at which more is produced again.
constexpr std::size_t kDrainedBytes = 128 << 10;
// Added to the time in which a caller may read a response.
constexpr base::milliseconds kUserTimeoutSlack{2000};

}  // namespace

void CallerSession::StartBody(int status,
                              const HttpFields& fields,
                              std::uint64_t length,
                              base::TimePoint deadline) {
  if (closed_)
    return;
  vanillalever::http::SetUserTimeout(
      socket_, deadline - base::TimePoint::clock::now() + kUserTimeoutSlack);
  user_timeout_extended_ = true;
  AppendHead(status, fields, &unsent_);
  unsent_.append("Content-Length: " + std::to_string(length) + "\r\n\r\n");
  head_written_ = true;
  buffered_bytes_ = 0;
  FlushWrites();
}

bool CallerSession::SendBody(std::string_view data) {
  if (closed_)
    return false;
  unsent_.append(data);
  FlushWrites();
  AccountOutput();
  return !BackPressured();
}

void CallerSession::FinishBody() {
  if (!closed_)
    EndResponse();
}

std::size_t CallerSession::unsent_bytes() const {
  return unsent_.size() + (writing_ ? sending_.size() - written_ : 0);
}

bool CallerSession::BackPressured() {
  if (unsent_bytes() > kMaxPendingBytes)
    awaiting_drain_ = true;
  return awaiting_drain_;
}

void CallerSession::NotifyIfDrained() {
  if (closed_ || !awaiting_drain_ || unsent_bytes() > kDrainedBytes)
    return;
  awaiting_drain_ = false;
  if (!in_request_) {
    StartNextRequest();
    return Read();
  }
  if (auto request = request_)
    request->OnOutputDrained();
}

void CallerSession::StartNextRequest() {
  ParseBuffered();
  bool may_continue = in_request_ || awaiting_drain_ || next_request_posted_;
  if (input_ended_ && !may_continue && !closing_)
    BeginClose();
}

}  // namespace vanillalever::forwarding
