#include "vanillalever/forwarding/forwarded_request.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/server_request_text.h"

namespace vanillalever::forwarding {
namespace {

namespace http = boost::beast::http;
using base::milliseconds;

// Share of the time that a request has after which it is refused if no server
// has taken it: the caller then has time for another attempt.
constexpr double kWaitShare = 0.35;
// Pause before the next placement when no server can take a request, and its
// random part.
constexpr milliseconds kPlacePause{15};
constexpr std::uint64_t kPlaceJitterMs = 15;
// Servers that may refuse a request before it waits for a moment.
constexpr std::size_t kRefusalsInRow = 3;
// Retry-After of refusals, and its random part.
constexpr milliseconds kRetryAfter{250};
constexpr std::uint64_t kRetryJitterMs = 250;
// Retry-After while this process knows no configuration or no store.
constexpr milliseconds kNotReadyRetryAfter{500};
// Largest answer that is passed on whole, in bytes.
constexpr std::size_t kMaxWholeAnswer = 16 << 20;
// Statuses from here on mean that the server failed.
constexpr int kServerError = 500;
// The same for all requests: a more urgent one preempts others at the server,
// whose prompts must then be computed again.
constexpr int kUrgency = 5;

std::string Ms(base::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

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
      request_(std::move(request)),
      sink_(std::move(sink)),
      arrived_(base::TimePoint::clock::now()),
      timer_(context.io),
      wait_timer_(context.io) {}

ForwardedRequest::~ForwardedRequest() {
  if (connection_)
    connection_->Close();
}

void ForwardedRequest::Start() {
  context_.metrics.requests.Add();
  profile_ = context_.codec.DecodeRequest(request_);
  if (!TakeRoute())
    return;
  base::Duration limit = route_->timeout;
  if (profile_.caller_timeout)
    limit = std::min<base::Duration>(limit, *profile_.caller_timeout);
  deadline_ = arrived_ + limit;
  timer_.expires_at(deadline_);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (auto self = weak.lock(); !error && self)
      self->OnTimeout();
  });
  if (service_->engine)
    chain_ = MakePromptChain(profile_.prompt_parts);
  AskBudget();
}

bool ForwardedRequest::TakeRoute() {
  config_ = context_.config;
  if (!config_) {
    Refuse("no configuration is known yet", kNotReadyRetryAfter);
    return false;
  }
  route_ = config_->Match(View(request_[http::field::host]),
                          PathOf(View(request_.target())));
  if (route_ == nullptr) {
    AnswerOwn(404, "no route matches");
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

void ForwardedRequest::AskBudget() {
  bool limited =
      service_->engine && profile_.token_budget && !profile_.program.empty();
  if (!limited)
    return Place();
  context_.budgets.Begin(profile_.program, *profile_.token_budget,
                         profile_.max_output_tokens,
                         [self = shared_from_this()](BudgetAnswer answer) {
                           self->OnBudget(answer);
                         });
}

void ForwardedRequest::OnBudget(BudgetAnswer answer) {
  context_.metrics.latency.budget_seconds.Observe(
      Seconds(base::TimePoint::clock::now() - arrived_));
  if (answer == BudgetAnswer::kGranted) {
    if (done_) {
      context_.budgets.End(profile_.program, profile_.max_output_tokens, 0);
      return;
    }
    holds_budget_ = true;
    return Place();
  }
  if (done_)
    return;
  if (answer == BudgetAnswer::kSpent) {
    context_.metrics.budget_spent.Add();
    return AnswerOwn(402, "the program's token budget is spent");
  }
  Refuse("the budget cannot be checked: the store is away",
         kNotReadyRetryAfter);
}

void ForwardedRequest::Place() {
  if (done_)
    return;
  auto now = base::TimePoint::clock::now();
  PlacementRequest request{profile_, chain_, *service_, route_->sticky,
                           excluded_};
  Placement placement = context_.placer.Place(
      context_.registry.servers(service_->name), request, now);
  if (!placement.slot || excluded_.size() >= kRefusalsInRow)
    return WaitForServer();
  Send(placement);
}

void ForwardedRequest::WaitForServer() {
  auto now = base::TimePoint::clock::now();
  auto limit = std::chrono::duration_cast<base::Duration>(
      kWaitShare * (deadline_ - arrived_));
  if (now - arrived_ >= limit && runs_ == 0 && !relaying_) {
    return Refuse(
        "no server can take the request",
        kRetryAfter + milliseconds(context_.random.Below(kRetryJitterMs)));
  }
  ++waits_;
  excluded_.clear();
  wait_timer_.expires_after(
      kPlacePause + milliseconds(context_.random.Below(kPlaceJitterMs)));
  wait_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        if (auto self = weak.lock(); !error && self)
          self->Place();
      });
}

bool ForwardedRequest::must_not_repeat() const {
  return route_->kind == RequestKind::kNonIdempotent ||
         (route_->kind == RequestKind::kStreaming && !route_->resumable);
}

std::string ForwardedRequest::RequestText(const ServerSlot& slot) const {
  ServerRequestOptions orders;
  orders.time_left = std::chrono::duration_cast<milliseconds>(time_left());
  orders.expected_server = slot.server.id;
  orders.urgency = kUrgency;
  orders.last_event_id =
      framer_.last_id().empty() ? profile_.last_event_id : framer_.last_id();
  return ServerRequestText(context_.codec, request_, orders);
}

void ForwardedRequest::Send(const Placement& placement) {
  auto now = base::TimePoint::clock::now();
  placement_ = placement;
  sent_at_ = now;
  first_output_.reset();
  slot_ = placement.slot;
  prefill_tokens_ = placement.prefill_tokens;
  sending_ = true;
  context_.metrics.open_sends.Add(1);
  slot_->load.OnSend(prefill_tokens_);
  context_.peers.OnLoadChanged(*slot_);
  context_.placer.OnPromptSent(*slot_, *service_, chain_);
  context_.peers.OnPromptSent(*slot_, chain_);
  ++sends_;
  context_.metrics.sends.Add();
  answer_ = Answer::kNone;
  framer_.DropPartial();
  body_.clear();
  const std::string& id = slot_->server.id;
  bool head_only = request_.method() == http::verb::head;
  connection_ = context_.pool.Take(id, must_not_repeat(), now);
  kept_connection_ = connection_ != nullptr;
  std::string text = RequestText(*slot_);
  if (kept_connection_)
    return connection_->Send(std::move(text), profile_.request_id, head_only,
                             this);
  context_.metrics.new_connections.Add();
  connection_ =
      std::make_shared<ServerConnection>(context_.io, context_.codec, id);
  connection_->Open(slot_->server.address,
                    context_.pool.settings().connect_timeout, std::move(text),
                    profile_.request_id, head_only, this);
}

void ForwardedRequest::EndSend(bool keep_connection) {
  if (std::exchange(sending_, false)) {
    context_.metrics.open_sends.Add(-1);
    slot_->load.OnEnd(prefill_tokens_);
    context_.peers.OnLoadChanged(*slot_);
    prefill_tokens_ = 0;
  }
  if (auto connection = std::exchange(connection_, nullptr)) {
    if (keep_connection)
      context_.pool.Give(std::move(connection));
    else
      connection->Close();
  }
}

void ForwardedRequest::OnResponseHead(int status,
                                      const HttpFields& fields,
                                      const ResponseMetadata& facts) {
  auto now = base::TimePoint::clock::now();
  slot_->load.OnReachable();
  reported_ = facts.load;
  if (facts.load) {
    slot_->load.OnReport(*facts.load, now);
    context_.peers.OnSlowness(*slot_, facts.load->slowness);
  }
  status_ = status;
  if (facts.not_run && (status == 503 || status == 429 || status == 421)) {
    answer_ = Answer::kRefusal;
    slot_->load.OnRefused(now);
    return;
  }
  bool success = status / 100 == 2;
  bool stream = success && route_->kind == RequestKind::kStreaming;
  answer_ = stream ? Answer::kStream : Answer::kWhole;
  // A resumed stream keeps the head of its first server.
  if (!relaying_) {
    answer_fields_ = fields;
    RemoveConnectionFields(answer_fields_);
  }
}

void ForwardedRequest::OnResponseBody(std::string_view data) {
  if (answer_ == Answer::kRefusal)
    return;
  if (answer_ == Answer::kWhole) {
    body_.append(data);
    if (body_.size() > kMaxWholeAnswer)
      GiveUp(502, "the answer is too large");
    return;
  }
  if (prefill_tokens_ > 0) {
    slot_->load.OnFirstOutput(prefill_tokens_);
    context_.peers.OnLoadChanged(*slot_);
    prefill_tokens_ = 0;
  }
  std::string events = framer_.Feed(data);
  if (events.empty())
    return;
  if (!first_output_)
    NoteFirstOutput();
  RelayStart();
  sink_->SendPiece(events);
}

void ForwardedRequest::NoteOutcome(bool failed) {
  slot_->load.OnOutcomes({failed ? 0 : 1, failed ? 1 : 0},
                         base::TimePoint::clock::now());
  context_.peers.OnOutcome(*slot_, failed);
}

void ForwardedRequest::NoteFirstOutput() {
  first_output_ = base::TimePoint::clock::now();
  context_.metrics.latency.first_event_seconds.Observe(
      Seconds(*first_output_ - sent_at_));
}

void ForwardedRequest::CountAnswer() {
  context_.metrics.answered.Add();
  context_.metrics.latency
      .request_seconds[static_cast<std::size_t>(route_->kind)]
      ->Observe(Seconds(base::TimePoint::clock::now() - arrived_));
}

void ForwardedRequest::RelayStart() {
  if (relaying_)
    return;
  relaying_ = true;
  sink_->StartStream(status_, answer_fields_);
}

void ForwardedRequest::OnResponseEnd() {
  auto self = shared_from_this();
  if (answer_ == Answer::kRefusal) {
    EndSend(true);
    return OnSendFailed(SendFailure::kRefused,
                        "status " + std::to_string(status_));
  }
  NoteOutcome(status_ >= kServerError);
  EndSend(true);
  if (answer_ == Answer::kWhole) {
    if (relaying_) {
      // The server that was to continue a stream answered with a failure.
      return GiveUp(502, "the stream could not be resumed");
    }
    sink_->SendWhole(status_, answer_fields_, body_);
    CountAnswer();
    return Finish("answered", "");
  }
  RelayStart();
  sink_->SendPiece(framer_.partial());
  sink_->FinishStream();
  CountAnswer();
  Finish("answered", "");
}

void ForwardedRequest::OnConnectionFailed(const std::string& reason,
                                          bool sent) {
  auto self = shared_from_this();
  bool answered = answer_ != Answer::kNone;
  bool refusal = answer_ == Answer::kRefusal;
  // A kept connection may have ended because it was idle.
  if (answered || !kept_connection_)
    NoteOutcome(true);
  EndSend(false);
  if (!sent || (!answered && !kept_connection_))
    slot_->load.OnUnreachable(base::TimePoint::clock::now());
  SendFailure failure = SendFailure::kNoAnswer;
  if (!sent)
    failure = SendFailure::kNotSent;
  else if (refusal)
    failure = SendFailure::kRefused;
  else if (answered)
    failure = SendFailure::kBroken;
  OnSendFailed(failure, reason);
}

void ForwardedRequest::OnSendFailed(SendFailure failure,
                                    const std::string& reason) {
  context_.metrics.send_failures.Add();
  const std::string id = slot_->server.id;
  bool may_have_run =
      failure == SendFailure::kNoAnswer || failure == SendFailure::kBroken;
  if (may_have_run)
    ++runs_;
  RetryState state;
  state.kind = route_->kind;
  state.resumable = route_->resumable;
  state.runs = runs_;
  state.max_servers = route_->max_attempts;
  state.server_gone = slot_->removed || failure == SendFailure::kNotSent;
  state.same_server_tries = same_server_tries_;
  NextStep step = context_.retries.Decide(failure, state);
  base::LogEvent(base::LogLevel::kInfo, "send_failed",
                 {{"request", profile_.request_id},
                  {"server", id},
                  {"failure", std::string(kSendFailureNames.name(failure))},
                  {"reason", reason},
                  {"sends", std::to_string(sends_)},
                  {"left_ms", Ms(time_left())}});
  switch (step) {
    case NextStep::kTryElsewhere:
      excluded_.push_back(id);
      return Place();
    case NextStep::kTrySameServer: {
      base::milliseconds pause = context_.retries.Pause(++same_server_tries_);
      wait_timer_.expires_after(pause);
      wait_timer_.async_wait(
          [weak = weak_from_this()](boost::system::error_code error) {
            auto self = weak.lock();
            if (error || !self || self->done_)
              return;
            Placement placement;
            placement.slot = self->slot_;
            self->Send(placement);
          });
      return;
    }
    case NextStep::kGiveUp:
      return GiveUp(502, reason);
  }
}

void ForwardedRequest::OnTimeout() {
  if (done_)
    return;
  auto self = shared_from_this();
  if (sending_ && answer_ == Answer::kNone)
    NoteOutcome(true);
  bool sent = connection_ != nullptr || runs_ > 0 || relaying_;
  if (!sent)
    return Refuse(
        "the time limit passed before a server could take the request",
        kRetryAfter);
  GiveUp(504, "the time limit passed");
}

void ForwardedRequest::Refuse(std::string_view reason,
                              base::Duration retry_after) {
  if (runs_ > 0 || relaying_)
    return GiveUp(502, reason);
  context_.metrics.refused.Add();
  AnswerOwn(503, reason, retry_after);
}

void ForwardedRequest::AnswerOwn(int status,
                                 std::string_view reason,
                                 std::optional<base::Duration> retry_after) {
  HttpFields fields;
  context_.codec.LabelLocalReply(fields, profile_.request_id);
  if (retry_after) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", Seconds(*retry_after));
    fields.set(http::field::retry_after, text);
  }
  sink_->SendWhole(status, fields, "");
  Finish("own_" + std::to_string(status), reason);
}

void ForwardedRequest::GiveUp(int status, std::string_view reason) {
  auto self = shared_from_this();
  context_.metrics.gave_up.Add();
  EndSend(false);
  if (relaying_) {
    sink_->Abort();
    return Finish("broken_off", reason);
  }
  AnswerOwn(status, reason);
}

void ForwardedRequest::OnCallerLeft() {
  if (done_)
    return;
  auto self = shared_from_this();
  context_.metrics.caller_left.Add();
  EndSend(false);
  Finish("caller_left", "");
}

void ForwardedRequest::Finish(std::string_view outcome,
                              std::string_view reason) {
  if (std::exchange(done_, true))
    return;
  if (connection_)
    EndSend(false);
  timer_.cancel();
  wait_timer_.cancel();
  if (std::exchange(holds_budget_, false)) {
    std::int64_t event_tokens = service_->engine->event_tokens;
    context_.budgets.End(profile_.program, profile_.max_output_tokens,
                         framer_.events() * event_tokens);
  }
  LogOutcome(outcome, reason);
}

base::Duration ForwardedRequest::time_left() const {
  return std::max(base::Duration(0), deadline_ - base::TimePoint::clock::now());
}

}  // namespace vanillalever::forwarding
