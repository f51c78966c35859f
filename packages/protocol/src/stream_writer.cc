#include "stream_writer.h"

#include <utility>

namespace vanillalever::protocol {

void StreamWriter::Write(const std::string& text) {
  if (failed_)
    return;
  pending_ += text;
  if (!in_flight_)
    SendPending();
}

void StreamWriter::Reset() {
  if (failed_)
    return;
  pending_.clear();
  pending_reset_ = true;
  if (!in_flight_)
    SendPending();
}

kj::Promise<void> StreamWriter::Flush() {
  if (!in_flight_)
    return kj::READY_NOW;
  auto pair = kj::newPromiseAndFulfiller<void>();
  flush_fulfiller_ = kj::mv(pair.fulfiller);
  return kj::mv(pair.promise);
}

void StreamWriter::SendPending() {
  if ((pending_.empty() && !pending_reset_) || failed_) {
    in_flight_ = false;
    KJ_IF_MAYBE (fulfiller, flush_fulfiller_)
      (*fulfiller)->fulfill();
    return;
  }
  in_flight_ = true;
  auto request = sink_.writeRequest();
  request.setText(std::exchange(pending_, {}));
  request.setReset(std::exchange(pending_reset_, false));
  request.send()
      .ignoreResult()
      .catch_([this](kj::Exception&&) { failed_ = true; })
      .then([self = kj::addRef(*this)]() mutable { self->SendPending(); })
      .detach([](kj::Exception&&) {});
}

}  // namespace vanillalever::protocol
