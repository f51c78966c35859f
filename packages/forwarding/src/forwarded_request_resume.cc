// The part of a request that concerns streams which callers take up again.

#include <algorithm>

#include <boost/beast/http/field.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;

}  // namespace

bool ForwardedRequest::may_be_resumed() const {
  return route_->kind == RequestKind::kStreaming && route_->resumable;
}

bool ForwardedRequest::GoesOnWithStream(const HttpFields& fields) const {
  std::string_view type = View(fields[http::field::content_type]);
  if (relaying_)
    return type == View(response_fields_[http::field::content_type]);
  bool taken_up = may_be_resumed() && !profile_.last_event_id.empty();
  return !taken_up || type.starts_with(kEventStream);
}

bool ForwardedRequest::repeats_last_event() const {
  return ended_without_event_ && !EventBeforeLast().empty();
}

const std::string& ForwardedRequest::EventBeforeLast() const {
  // A caller's own last event comes before the first one of this response.
  return framer_.events() == 1 ? profile_.last_event_id : framer_.previous_id();
}

const std::string& ForwardedRequest::ResumePoint() const {
  if (repeats_last_event())
    return EventBeforeLast();
  return framer_.last_id().empty() ? profile_.last_event_id : framer_.last_id();
}

void ForwardedRequest::FindOrigin() {
  if (!may_be_resumed() || profile_.last_event_id.empty())
    return FindPreviousTurn();
  context_.origins.Find(service_->name, profile_.resumed_request, wait_limit(),
                        [self = shared_from_this()](
                            OriginLookup outcome, const std::string& version) {
                          self->OnOrigin(outcome, version);
                        });
}

void ForwardedRequest::OnOrigin(OriginLookup outcome,
                                const std::string& version) {
  if (done_)
    return;
  base::LogEvent(base::LogLevel::kInfo, "origin_lookup",
                 {{"request", profile_.request_id},
                  {"resumes", profile_.resumed_request},
                  {"outcome", std::string(kOriginLookupNames.name(outcome))},
                  {"version", version}});
  switch (outcome) {
    case OriginLookup::kKnown:
      stream_version_ = version;
      if (!VersionServes())
        return RefuseReplacedVersion();
      return FindPreviousTurn();
    case OriginLookup::kUnknown:
      return Refuse("the version that began the stream is not known",
                    kNotResumableRetryAfter);
    case OriginLookup::kUnavailable:
      return Refuse(
          "the version that began the stream cannot be read: the store is "
          "unavailable",
          kNotReadyRetryAfter);
  }
}

void ForwardedRequest::RefuseReplacedVersion() {
  Refuse("no server of the version that began the stream serves",
         kNotResumableRetryAfter);
}

void ForwardedRequest::RecordOrigin() {
  if (!may_be_resumed() || stream_version_)
    return;
  stream_version_ = slot_->server.software_version;
  context_.origins.Record(profile_.request_id,
                          {service_->name, *stream_version_}, deadline_);
}

bool ForwardedRequest::VersionServes() const {
  if (!stream_version_)
    return true;
  const auto& servers = context_.registry.servers(service_->name);
  return std::any_of(servers.begin(), servers.end(),
                     [this](const ServerSlotPtr& slot) {
                       return slot->accepts_requests() &&
                              slot->server.software_version == *stream_version_;
                     });
}

}  // namespace vanillalever::forwarding
