// The part of a request that concerns responses other than streams of events.

#include <charconv>
#include <utility>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;

// Start of a response that is held back before it is relayed. Until then the
// request may be sent to another server.
constexpr std::size_t kHeldBytes = 256 << 10;

}  // namespace

std::optional<std::uint64_t> ForwardedRequest::LengthToRelay(
    const HttpFields& fields) const {
  std::string_view text = View(fields[http::field::content_length]);
  std::uint64_t length = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  bool declared = error == std::errc() && end == text.data() + text.size();
  if (!declared || length <= context_.max_response_bytes ||
      request_->method() == http::verb::head)
    return std::nullopt;
  return length;
}

void ForwardedRequest::OnPlainBody(std::string_view data) {
  if (response_mode_ == ResponseMode::kRelayed)
    return RelayBody(data);
  body_.append(data);
  sink_->OnBuffered(body_.size());
  if (!relayed_length_) {
    if (body_.size() > context_.max_response_bytes)
      RejectResponse("the response is too large");
    return;
  }
  if (body_.size() <= kHeldBytes)
    return;
  response_mode_ = ResponseMode::kRelayed;
  relaying_ = true;
  sink_->StartBody(status_, response_fields_, *relayed_length_, deadline_);
  RelayBody(std::exchange(body_, std::string()));
}

void ForwardedRequest::RelayBody(std::string_view data) {
  auto self = shared_from_this();
  bool more = sink_->SendBody(data);
  if (!more && connection_)
    connection_->PauseReading();
}

void ForwardedRequest::OnOutputDrained() {
  if (connection_)
    connection_->ResumeReading();
}

void ForwardedRequest::FinishBody() {
  sink_->FinishBody();
  RecordResponse();
  Finish("answered", "");
}

}  // namespace vanillalever::forwarding
