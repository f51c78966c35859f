#include "vanillalever/forwarding/forwarded_request.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/server_log.h"
#include "vanillalever/forwarding/server_request.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;
using base::milliseconds;

// Refusals by servers after which the request waits before the next placement.
constexpr std::size_t kMaxConsecutiveRefusals = 3;
// Longest incomplete event: a failing server may send bytes without end.
constexpr std::size_t kMaxEventBytes = 256 << 10;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kMisdirectedStatus = 421;
// The same for all requests: a more urgent request would preempt others at the
// server, whose prompts would have to be prefilled again.
constexpr int kUrgency = 5;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

ForwardedRequest::ForwardedRequest(ForwardingContext& context,
                                   CallerRequest request,
                                   std::shared_ptr<ResponseSink> sink)
    : context_(context),
      request_(std::make_shared<const CallerRequest>(std::move(request))),
      sink_(std::move(sink)),
      arrived_at_(base::TimePoint::clock::now()),
      timer_(context.io),
      wait_timer_(context.io) {}

ForwardedRequest::~ForwardedRequest() {
  if (connection_)
    connection_->Close();
}

void ForwardedRequest::Start() {
  context_.metrics.requests.Add();
  profile_ = context_.codec.DecodeRequest(*request_);
  if (!ResolveRoute() || !IdentifyOrganisation())
    return;
  if (route_->kind == RequestKind::kStreaming &&
      !HasValidIds(profile_, ConversationService::kMaxIdBytes))
    return SendLocalReply(400, "an id is no printable text, or too long");
  base::Duration limit = route_->timeout;
  if (profile_.caller_timeout)
    limit = std::min<base::Duration>(limit, *profile_.caller_timeout);
  deadline_ = arrived_at_ + limit;
  if (context_.stopping_since &&
      !context_.stops.Accepts(
          arrived_at_ - *context_.stopping_since, limit, context_.stop_time,
          context_.durations.longest(route_->name, arrived_at_)))
    return Refuse("the gateway is stopping", kStoppingRetryAfter);
  if (service_->engine)
    chain_ = MakePromptChain(profile_.prompt_parts);
  if (!AdmitUnderLoad() || !TakeAllotment())
    return;
  timer_.expires_at(deadline_);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (auto self = weak.lock(); !error && self)
      self->OnTimeout();
  });
  FindOrigin();
}

bool ForwardedRequest::ResolveRoute() {
  config_ = context_.config;
  if (!config_) {
    Refuse("no configuration is known yet", kNotReadyRetryAfter);
    return false;
  }
  route_ = config_->Match(View((*request_)[http::field::host]),
                          PathOf(View(request_->target())));
  if (route_ == nullptr) {
    SendLocalReply(404, "no route matches");
    return false;
  }
  const std::string& key =
      profile_.session.empty() ? profile_.request_id : profile_.session;
  const std::string& name = config_->ChooseService(*route_, key);
  auto service = config_->services.find(name);
  if (service == config_->services.end()) {
    Refuse("the route's service is not configured", kNotReadyRetryAfter);
    return false;
  }
  service_ = &service->second;
  return true;
}

void ForwardedRequest::ReserveBudget() {
  bool limited =
      service_->engine && profile_.token_budget && !profile_.program.empty();
  if (!limited)
    return Place();
  TokenDemand demand{*profile_.token_budget, profile_.max_output_tokens,
                     wait_limit()};
  context_.budgets.Begin(BudgetKey(), demand,
                         [self = shared_from_this()](BudgetOutcome outcome) {
                           self->OnBudgetResult(outcome);
                         });
}

void ForwardedRequest::OnBudgetResult(BudgetOutcome outcome) {
  context_.metrics.latency.budget_seconds.Observe(
      Seconds(base::TimePoint::clock::now() - arrived_at_));
  if (outcome == BudgetOutcome::kGranted) {
    if (done_) {
      context_.budgets.End(BudgetKey(), profile_.max_output_tokens, 0);
      return;
    }
    budget_reserved_ = true;
    return Place();
  }
  if (done_)
    return;
  if (outcome == BudgetOutcome::kSpent) {
    context_.metrics.budget_refusals.Add();
    return SendLocalReply(402, "the program's token budget is spent");
  }
  Refuse("the budget cannot be checked: the store is unavailable",
         kNotReadyRetryAfter);
}

void ForwardedRequest::Place() {
  if (done_)
    return;
  guard::Admission admission = Admit();
  if (HoldBack(admission, [](ForwardedRequest& self) { self.Place(); }))
    return;
  if (admission == guard::Admission::kTrial && !std::exchange(trial_due_, true))
    return WaitForTrial();
  auto now = base::TimePoint::clock::now();
  PlacementRequest request{profile_, chain_, *service_, route_->sticky,
                           excluded_};
  if (stream_version_)
    request.software_version = &*stream_version_;
  request.resumable = may_be_resumed();
  request.apart = admission != guard::Admission::kNormal;
  request.news_age = context_.peers.news_age();
  Placement placement = context_.placer.Place(
      context_.registry.servers(service_->name), request, now);
  context_.metrics.unseen_requests.Add(std::llround(placement.unseen));
  if (!placement.slot || excluded_.size() >= kMaxConsecutiveRefusals)
    return WaitForServer();
  SendWhenTaken(placement);
}

bool ForwardedRequest::must_not_repeat() const {
  return route_->kind == RequestKind::kNonIdempotent ||
         (route_->kind == RequestKind::kStreaming && !route_->resumable);
}

ServerRequest ForwardedRequest::MakeRequest(const ServerSlot& slot) const {
  ServerRequestOptions options;
  options.time_left = std::chrono::duration_cast<milliseconds>(time_left());
  options.expected_server = slot.server.id;
  options.urgency = kUrgency;
  options.last_event_id = ResumePoint();
  options.organisation = OrganisationName();
  return MakeServerRequest(context_.codec, request_, previous_turn_, options);
}

void ForwardedRequest::Send(const Placement& placement) {
  if (!KeyStillHeld())
    return;
  auto now = base::TimePoint::clock::now();
  placement_ = placement;
  sent_at_ = now;
  first_output_.reset();
  slot_ = placement.slot;
  prefill_tokens_ = placement.prefill_tokens;
  send_open_ = true;
  context_.metrics.open_sends.Add(1);
  slot_->load.OnSend(prefill_tokens_);
  context_.peers.OnLoadChanged(*slot_);
  MarkSuspect();
  context_.placer.OnPromptSent(*slot_, *service_, chain_);
  context_.peers.OnPromptSent(*slot_, chain_);
  ++sends_;
  context_.metrics.sends.Add();
  response_mode_ = ResponseMode::kNone;
  framer_.BeginResponse(repeats_last_event());
  body_.clear();
  relayed_length_.reset();
  const std::string& id = slot_->server.id;
  bool head_only = request_->method() == http::verb::head;
  connection_ =
      context_.pool.Take(id, profile_.request_id, must_not_repeat(), now);
  reused_connection_ = connection_ != nullptr;
  ServerRequest request = MakeRequest(*slot_);
  if (reused_connection_)
    return connection_->Send(std::move(request), profile_.request_id, head_only,
                             this);
  context_.metrics.new_connections.Add();
  connection_ =
      std::make_shared<ServerConnection>(context_.io, context_.codec, id);
  connection_->Open(slot_->server.address,
                    context_.pool.settings().connect_timeout,
                    std::move(request), profile_.request_id, head_only, this);
}

void ForwardedRequest::EndSend(bool keep_connection) {
  if (std::exchange(send_open_, false)) {
    context_.metrics.open_sends.Add(-1);
    slot_->load.OnEnd(prefill_tokens_);
    UnmarkSuspect();
    context_.peers.OnLoadChanged(*slot_);
    prefill_tokens_ = 0;
  }
  if (auto connection = std::exchange(connection_, nullptr)) {
    if (keep_connection)
      context_.pool.Put(std::move(connection));
    else
      connection->Close();
  }
}

void ForwardedRequest::OnResponseHead(int status,
                                      const HttpFields& fields,
                                      const ResponseMetadata& metadata) {
  auto now = base::TimePoint::clock::now();
  slot_->load.OnReachable();
  // A response of another server at the address proves nothing of this one.
  if (status != kMisdirectedStatus)
    context_.crashes.OnAlive(*slot_, sent_at_);
  else
    context_.crashes.OnServerEnded(*slot_);
  reported_ = metadata.load;
  stated_limit_ = metadata.request_limit;
  RecordStatedLimit(status, metadata);
  if (metadata.leaving && status != kMisdirectedStatus)
    MarkLeaving();
  if (metadata.load) {
    slot_->load.OnReport(*metadata.load, now);
    context_.peers.OnSlowness(*slot_, metadata.load->slowness);
  }
  status_ = status;
  if (metadata.not_run && (status == 503 || status == 429 || status == 421)) {
    response_mode_ = ResponseMode::kRefusal;
    slot_->load.OnRefused(now);
    return;
  }
  bool success = status / 100 == 2;
  bool head_only = request_->method() == http::verb::head;
  bool stream =
      success && route_->kind == RequestKind::kStreaming && !head_only;
  if (stream && !GoesOnWithStream(fields))
    return OnBrokenOff("the response does not go on with the stream");
  response_mode_ = stream ? ResponseMode::kStreamed : ResponseMode::kBuffered;
  // A resumed stream keeps the head of its first response.
  if (!relaying_) {
    response_fields_ = fields;
    RemoveConnectionFields(response_fields_);
    if (auto length = fields.find(http::field::content_length);
        head_only && length != fields.end())
      response_fields_.set(http::field::content_length, length->value());
    relayed_length_ = LengthToRelay(fields);
  }
}

void ForwardedRequest::OnResponseBody(std::string_view data) {
  if (response_mode_ == ResponseMode::kRefusal)
    return;
  if (response_mode_ != ResponseMode::kStreamed)
    return OnPlainBody(data);
  if (prefill_tokens_ > 0) {
    slot_->load.OnFirstOutput(prefill_tokens_);
    context_.peers.OnLoadChanged(*slot_);
    prefill_tokens_ = 0;
  }
  std::string events = framer_.Feed(data);
  if (framer_.partial().size() > kMaxEventBytes)
    return RejectResponse("an event of the response is too large");
  if (framer_.id_too_long())
    return RejectResponse("the id of an event is too long");
  if (framer_.data().size() > ConversationService::kMaxTurnBytes)
    return RejectResponse("the output is too long to be kept");
  // What is recorded of a turn is held until its end.
  if (route_->stateful)
    sink_->OnBuffered(framer_.data().size());
  if (events.empty())
    return;
  if (!first_output_)
    RecordFirstOutput();
  StartRelay();
  sink_->SendChunk(events);
}

void ForwardedRequest::RecordStatedLimit(int status,
                                         const ResponseMetadata& metadata) {
  if (metadata.request_limit)
    context_.metrics.limited_responses.Add();
  // A response of another server, or one without proof, says nothing about the
  // end of this server's limit.
  if (status == kMisdirectedStatus ||
      (!metadata.request_limit && !metadata.authenticated))
    return;
  RateStatement statement{metadata.request_limit,
                          base::TimePoint::clock::now()};
  if (!slot_->rate_limit.OnStatement(statement))
    return;
  LogRateLimit(*slot_, "response");
  context_.peers.OnLoadChanged(*slot_);
}

void ForwardedRequest::MarkLeaving() {
  const BackendServer& server = slot_->server;
  if (!context_.registry.MarkLeaving(server.id, server.started_at_ms))
    return;
  LogLeaving(server.id, "response");
  context_.peers.AnnounceLoad(*slot_);
}

void ForwardedRequest::RecordOutcome(bool failed) {
  slot_->load.OnOutcomes({failed ? 0 : 1, failed ? 1 : 0},
                         base::TimePoint::clock::now());
  context_.peers.OnOutcome(*slot_, failed);
}

void ForwardedRequest::RecordFirstOutput() {
  first_output_ = base::TimePoint::clock::now();
  context_.admission.OnBegun(program_hash(), *first_output_);
  context_.metrics.latency.first_event_seconds.Observe(
      Seconds(*first_output_ - sent_at_));
  first_output_events_ = framer_.events();
}

void ForwardedRequest::RecordResponse() {
  auto now = base::TimePoint::clock::now();
  context_.metrics.responses.Add();
  context_.durations.Record(route_->name, now - arrived_at_, now);
  context_.metrics.latency
      .request_seconds[static_cast<std::size_t>(route_->kind)]
      ->Observe(Seconds(now - arrived_at_));
}

void ForwardedRequest::StartRelay() {
  if (relaying_)
    return;
  relaying_ = true;
  RecordOrigin();
  sink_->StartStream(status_, response_fields_);
}

void ForwardedRequest::OnResponseEnd() {
  auto self = shared_from_this();
  if (response_mode_ == ResponseMode::kRefusal) {
    EndSend(true);
    return OnSendFailed(SendFailure::kRefused,
                        "status " + std::to_string(status_));
  }
  if (response_mode_ == ResponseMode::kStreamed && ends_inside_event())
    return OnBrokenOff("the stream ended inside an event");
  if (response_mode_ == ResponseMode::kStreamed && ends_before_first_event()) {
    ended_without_event_ = true;
    return OnBrokenOff("the stream ended before its first event");
  }
  RecordOutcome(status_ >= kFirstServerErrorStatus);
  RecordCompletion();
  RecordServiceTime();
  RecordSpeed();
  EndSend(true);
  if (response_mode_ == ResponseMode::kRelayed)
    return FinishBody();
  if (response_mode_ == ResponseMode::kBuffered) {
    if (relaying_) {
      // The server that was to resume the stream returned an error.
      return Fail(502, "the stream could not be resumed");
    }
    sink_->SendResponse(status_, response_fields_, body_);
    RecordResponse();
    return Finish("answered", "");
  }
  StartRelay();
  sink_->SendChunk(framer_.partial());
  if (route_->stateful)
    RecordTurn();
  else
    FinishStream();
}

void ForwardedRequest::FinishStream() {
  sink_->FinishStream();
  RecordResponse();
  Finish("answered", "");
}

void ForwardedRequest::Refuse(std::string_view reason,
                              base::Duration retry_after) {
  if (possible_runs_ > 0 || relaying_)
    return Fail(502, reason);
  ReturnAllotment();
  context_.metrics.refused.Add();
  SendLocalReply(503, reason, retry_after);
}

void ForwardedRequest::SendLocalReply(
    int status,
    std::string_view reason,
    std::optional<base::Duration> retry_after) {
  HttpFields fields;
  context_.codec.LabelLocalReply(fields, profile_.request_id);
  if (retry_after) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", Seconds(*retry_after));
    fields.set(http::field::retry_after, text);
  }
  sink_->SendResponse(status, fields, "");
  Finish("own_" + std::to_string(status), reason);
}

void ForwardedRequest::Fail(int status, std::string_view reason) {
  auto self = shared_from_this();
  context_.metrics.unknown_outcomes.Add();
  EndSend(false);
  if (relaying_) {
    sink_->Abort();
    return Finish("broken_off", reason);
  }
  SendLocalReply(status, reason);
}

void ForwardedRequest::RejectResponse(std::string_view reason) {
  RecordOutcome(true);
  Fail(502, reason);
}

void ForwardedRequest::OnCallerDisconnected(std::string_view reason) {
  if (done_)
    return;
  auto self = shared_from_this();
  context_.metrics.caller_disconnects.Add();
  RecordInterruption(Interruption::kAbandoned);
  EndSend(false);
  Finish("caller_left", reason);
}

void ForwardedRequest::Finish(std::string_view outcome,
                              std::string_view reason) {
  if (std::exchange(done_, true))
    return;
  if (connection_)
    EndSend(false);
  timer_.cancel();
  wait_timer_.cancel();
  if (sends_ == 0)
    ReturnAllotment();
  if (std::exchange(budget_reserved_, false)) {
    std::int64_t event_tokens = service_->engine->event_tokens;
    context_.budgets.End(BudgetKey(), profile_.max_output_tokens,
                         framer_.events() * event_tokens);
  }
  LogOutcome(outcome, reason);
}

base::TimePoint ForwardedRequest::wait_limit() const {
  return arrived_at_ + std::chrono::duration_cast<base::Duration>(
                           kMaxWaitShare * (deadline_ - arrived_at_));
}

base::Duration ForwardedRequest::time_left() const {
  return std::max(base::Duration(0), deadline_ - base::TimePoint::clock::now());
}

}  // namespace vanillalever::forwarding
