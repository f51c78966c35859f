#include "stream_writer.h"

#include <utility>

namespace vanillalever::protocol {

void StreamWriter::Write(const std::string& text) {
  if (broken_)
    return;
  pending_ += text;
  if (!outstanding_)
    SendPending();
}

void StreamWriter::Reset() {
  if (broken_)
    return;
  pending_.clear();
  pending_reset_ = true;
  if (!outstanding_)
    SendPending();
}

kj::Promise<void> StreamWriter::Flush() {
  if (!outstanding_)
    return kj::READY_NOW;
  auto pair = kj::newPromiseAndFulfiller<void>();
  flushed_ = kj::mv(pair.fulfiller);
  return kj::mv(pair.promise);
}

void StreamWriter::SendPending() {
  if ((pending_.empty() && !pending_reset_) || broken_) {
    outstanding_ = false;
    KJ_IF_MAYBE (flushed, flushed_)
      (*flushed)->fulfill();
    return;
  }
  outstanding_ = true;
  auto request = sink_.writeRequest();
  request.setText(std::exchange(pending_, {}));
  request.setReset(std::exchange(pending_reset_, false));
  request.send()
      .ignoreResult()
      .catch_([this](kj::Exception&&) { broken_ = true; })
      .then([self = kj::addRef(*this)]() mutable { self->SendPending(); })
      .detach([](kj::Exception&&) {});
}

}  // namespace vanillalever::protocol
