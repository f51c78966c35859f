// The part of a request that measures the speed of its server.

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {

void ForwardedRequest::RecordSpeed() {
  // A retry at the same server, or the rest of a stream, took other work than
  // the placement assumed.
  bool whole = status_ / 100 == 2 && sends_ == 1 && placement_.candidates > 0 &&
               profile_.last_event_id.empty();
  if (!whole || (service_->engine && !first_output_))
    return;
  auto now = base::TimePoint::clock::now();
  RequestOutput output;
  if (reported_)
    output.reported_slowness = reported_->slowness;
  output.elapsed = now - sent_at_;
  if (service_->engine) {
    output.first_output = *first_output_ - sent_at_;
    std::int64_t event_tokens = service_->engine->event_tokens;
    output.tokens = framer_.events() * event_tokens;
    output.tokens_after_first =
        (framer_.events() - first_output_events_) * event_tokens;
    output.max_tokens = profile_.max_output_tokens;
  }
  context_.placer.OnCompleted(placement_, *service_, output, now);
}

}  // namespace vanillalever::forwarding
