// The part of a session that accounts for the bytes which it holds.

#include <utility>

#include "session.h"

namespace vanillalever::http {

bool Session::AccountBody(std::size_t bytes) {
  SessionAccount& account = server_->account();
  bool stays = account.Set(*holding_, memory::Purpose::kRequest, bytes,
                           base::TimePoint::clock::now());
  // An ended session waits for ReleaseMemory(), which has been posted.
  bool waits = bytes > 0 && account.MustWait(*holding_);
  waiting_ = waits ? shared_from_this() : nullptr;
  if (waits && stays)
    server_->StartAccountTicks();
  return !waits;
}

void Session::AccountOutput(std::size_t bytes) {
  server_->account().Set(*holding_, memory::Purpose::kResponse, bytes,
                         base::TimePoint::clock::now());
}

void Session::OnResumed() {
  if (auto self = weak_from_this().lock())
    boost::asio::post(stream_.get_executor(), [self] {
      if (std::exchange(self->waiting_, nullptr))
        self->ReadBody();
    });
}

void Session::OnEnded(memory::Purpose /*purpose*/) {
  if (auto self = weak_from_this().lock())
    boost::asio::post(stream_.get_executor(),
                      [self] { self->ReleaseMemory(); });
}

void Session::ReleaseMemory() {
  if (std::exchange(memory_ended_, true))
    return;
  if (std::exchange(waiting_, nullptr))
    return RejectForMemory();
  bool reads_body = parser_ && !request_in_flight_ && !waiting_for_request_;
  if (reads_body) {
    // The read that is in progress ends with an error and rejects the request.
    stream_.cancel();
    return;
  }
  OnWriteError("the memory for clients is used up");
  boost::system::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                            ignored);
}

void Session::RejectForMemory() {
  RejectInput(503, "the memory for clients is used up");
}

}  // namespace vanillalever::http
