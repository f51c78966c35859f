// The part of a request that concerns failed sends, ends without a server's
// response, and servers that end while the request is at work there.

#include <utility>

#include <boost/beast/http/field.hpp>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/duration_text.h"
#include "vanillalever/forwarding/forwarded_request.h"
#include "vanillalever/guard/fingerprint.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;
using base::milliseconds;

}  // namespace

void ForwardedRequest::Reject(std::string_view reason) {
  context_.metrics.requests.Add();
  profile_ = context_.codec.DecodeRequest(*request_);
  Refuse(reason, kRetryAfter);
}

void ForwardedRequest::OnTimeout() {
  if (done_)
    return;
  if (send_open_ && response_mode_ == ResponseMode::kNone)
    RecordOutcome(true);
  EndUnanswered("the time limit passed");
}

void ForwardedRequest::OnEnding(std::string_view reason) {
  if (!done_)
    EndUnanswered(reason);
}

void ForwardedRequest::EndUnanswered(std::string_view reason) {
  auto self = shared_from_this();
  RecordInterruption(Interruption::kAbandoned);
  if (connection_ && connection_->paused())
    return Fail(504, "the caller did not read its response in time");
  bool sent = connection_ != nullptr || possible_runs_ > 0 || relaying_;
  if (!sent)
    return Refuse(std::string(reason) + " before a server took the request",
                  kRetryAfter);
  Fail(504, reason);
}

void ForwardedRequest::OnConnectionFailed(const std::string& reason,
                                          bool sent) {
  auto self = shared_from_this();
  bool responded = response_mode_ != ResponseMode::kNone;
  bool refusal = response_mode_ == ResponseMode::kRefusal;
  if (connection_ && connection_->refused())
    context_.crashes.OnServerEnded(*slot_);
  if (sent && !refusal)
    RecordInterruption(Interruption::kConnectionLost);
  // The server may have closed a reused connection because it was idle.
  if (responded || !reused_connection_)
    RecordOutcome(true);
  EndSend(false);
  if (!sent || (!responded && !reused_connection_))
    slot_->load.OnUnreachable(base::TimePoint::clock::now());
  SendFailure failure = SendFailure::kNoAnswer;
  if (!sent)
    failure = SendFailure::kNotSent;
  else if (refusal)
    failure = SendFailure::kRefused;
  else if (responded)
    failure = SendFailure::kBroken;
  OnSendFailed(failure, reason);
}

bool ForwardedRequest::ends_inside_event() const {
  bool events = View(response_fields_[http::field::content_type])
                    .starts_with(kEventStream);
  return events &&
         framer_.partial().find_first_not_of("\r\n") != std::string::npos;
}

bool ForwardedRequest::ends_before_first_event() const {
  return !framer_.response_has_event() && connection_ &&
         connection_->ended_with_response();
}

void ForwardedRequest::OnBrokenOff(const std::string& reason) {
  auto self = shared_from_this();
  RecordInterruption(Interruption::kConnectionLost);
  RecordOutcome(true);
  EndSend(false);
  OnSendFailed(SendFailure::kBroken, reason);
}

void ForwardedRequest::OnSendFailed(SendFailure failure,
                                    const std::string& reason) {
  context_.metrics.send_failures.Add();
  const std::string id = slot_->server.id;
  bool may_have_run =
      failure == SendFailure::kNoAnswer || failure == SendFailure::kBroken;
  if (may_have_run)
    ++possible_runs_;
  RetryState state;
  state.kind = route_->kind;
  state.resumable = route_->resumable;
  state.possible_runs = possible_runs_;
  state.max_servers = route_->max_attempts;
  state.server_unavailable = slot_->removed || failure == SendFailure::kNotSent;
  state.same_server_attempts = same_server_attempts_;
  RetryDecision decision = context_.retries.Decide(failure, state);
  // The caller has a part of the response, with which no other goes on.
  if (response_mode_ == ResponseMode::kRelayed)
    decision = RetryDecision::kGiveUp;
  base::LogEvent(base::LogLevel::kInfo, "send_failed",
                 {{"request", profile_.request_id},
                  {"fingerprint", fingerprint()},
                  {"server", id},
                  {"failure", std::string(kSendFailureNames.name(failure))},
                  {"reason", reason},
                  {"sends", std::to_string(sends_)},
                  {"left_ms", Ms(time_left())}});
  switch (decision) {
    case RetryDecision::kRetryOtherServer:
      excluded_.push_back(id);
      return Place();
    case RetryDecision::kRetrySameServer:
      return RetrySameServer();
    case RetryDecision::kGiveUp:
      return Fail(502, reason);
  }
}

std::uint64_t ForwardedRequest::content_hash() const {
  std::uint64_t hash = base::Hash64(View(request_->method_string()));
  hash = base::Hash64(View((*request_)[http::field::host]), hash);
  hash = base::Hash64(View(request_->target()), hash);
  return base::Hash64(request_->body(), hash);
}

const std::string& ForwardedRequest::fingerprint() {
  if (fingerprint_.empty()) {
    std::string method_and_host(View(request_->method_string()));
    method_and_host.append(" ").append(View((*request_)[http::field::host]));
    fingerprint_ = guard::RequestFingerprint(
        method_and_host, View(request_->target()), request_->body());
  }
  return fingerprint_;
}

guard::Admission ForwardedRequest::Admit() {
  return context_.crashes.watching() ? context_.crashes.Admit(fingerprint())
                                     : guard::Admission::kNormal;
}

void ForwardedRequest::MarkSuspect() {
  guard::Admission admission = Admit();
  trial_send_ = admission == guard::Admission::kTrial;
  suspect_send_ = trial_send_ || admission == guard::Admission::kApart;
  if (!suspect_send_)
    return;
  if (trial_send_)
    context_.crashes.BeginTrial(fingerprint());
  slot_->load.OnSuspectSent();
  context_.peers.AnnounceLoad(*slot_);
}

void ForwardedRequest::UnmarkSuspect() {
  if (std::exchange(trial_send_, false))
    context_.crashes.EndTrial(fingerprint());
  if (std::exchange(suspect_send_, false))
    slot_->load.OnSuspectEnded();
}

void ForwardedRequest::RecordInterruption(Interruption kind) {
  if (send_open_ && response_mode_ != ResponseMode::kRefusal &&
      !context_.crashes.CompletedLately(content_hash()))
    context_.crashes.OnInterrupted(
        *slot_, {fingerprint(), base::TimePoint::clock::now() - sent_at_},
        kind);
}

void ForwardedRequest::RecordCompletion() {
  context_.crashes.OnCompleted(content_hash());
  if (context_.crashes.watching())
    context_.crashes.Clear(fingerprint());
}

bool ForwardedRequest::HoldBack(guard::Admission admission,
                                std::function<void(ForwardedRequest&)> action) {
  if (admission == guard::Admission::kRefuse) {
    context_.metrics.crash_refusals.Add();
    Refuse("the request crashes servers", CrashMonitor::kExpiry);
    return true;
  }
  if (admission != guard::Admission::kWait)
    return false;
  auto now = base::TimePoint::clock::now();
  if (now >= wait_limit() && possible_runs_ == 0 && !relaying_) {
    Refuse(
        "it is not known yet whether the request crashes servers",
        kRetryAfter + milliseconds(context_.random.Below(kRetryAfterJitterMs)));
    return true;
  }
  ++waits_;
  trial_due_ = false;
  WaitThen(kCrashCheckDelay, std::move(action));
  return true;
}

void ForwardedRequest::WaitForTrial() {
  constexpr auto kJitterMs =
      static_cast<std::uint64_t>(guard::SuspectPolicy::kTrialJitter.count());
  WaitThen(milliseconds(context_.random.Below(kJitterMs)),
           [](ForwardedRequest& self) { self.Place(); });
}

}  // namespace vanillalever::forwarding
