#include "fake_engine.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "ledger_time.h"
#include "vanillalever/base/hash.h"

namespace vanillalever::fakes {
namespace {

constexpr base::milliseconds kModelStep{5};
constexpr base::milliseconds kSampleInterval{50};
// Interval at which a waiting request checks for a client disconnect.
constexpr base::milliseconds kClientCheckInterval{20};
constexpr std::int64_t kDefaultMaxTokens = 256;

std::string MessageContent(const nlohmann::json& message) {
  const nlohmann::json& content = message.at("content");
  return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string PromptText(const nlohmann::json& request) {
  std::string text;
  for (const nlohmann::json& message : request.at("messages"))
    text += message.at("role").get<std::string>() + ": " +
            MessageContent(message) + "\n";
  return text;
}

std::string LastMessage(const nlohmann::json& request) {
  const nlohmann::json& messages = request.at("messages");
  return messages.empty() ? "" : MessageContent(messages.back());
}

std::string TokenText(const std::string& marker, std::int64_t index) {
  return index == 0 ? marker : " w" + std::to_string(index);
}

std::string ResponseText(const nlohmann::json& request, std::int64_t tokens) {
  std::string marker = ResponseMarker(LastMessage(request));
  std::string text;
  for (std::int64_t i = 0; i < tokens; ++i)
    text += TokenText(marker, i);
  return text;
}

// Without an explicit length, 8 to 71 tokens derived from a hash of the prompt.
std::int64_t RequestedTokens(const nlohmann::json& request,
                             const std::string& prompt) {
  std::int64_t derived_tokens =
      8 + static_cast<std::int64_t>(base::Hash64(prompt) % 64);
  return std::max<std::int64_t>(1,
                                request.value("output_tokens", derived_tokens));
}

nlohmann::json Usage(const BatchJob& job) {
  std::int64_t prompt = TokenCount(job.prompt);
  std::int64_t generated = job.emitted();
  return {{"prompt_tokens", prompt},
          {"completion_tokens", generated},
          {"total_tokens", prompt + generated},
          {"prompt_tokens_details", {{"cached_tokens", job.cached_tokens}}}};
}

nlohmann::json Chunk(const nlohmann::json& request,
                     const std::string& text,
                     const nlohmann::json& finish_reason) {
  return {{"object", "chat.completion.chunk"},
          {"model", request.value("model", "default")},
          {"choices",
           {{{"index", 0},
             {"delta", {{"content", text}}},
             {"finish_reason", finish_reason}}}}};
}

std::string FinishReason(const nlohmann::json& request, const BatchJob& job) {
  return RequestedTokens(request, job.prompt) > job.output_tokens ? "length"
                                                                  : "stop";
}

}  // namespace

std::string ResponseMarker(const std::string& last_message) {
  return "#" + base::HexString(base::Hash64(last_message));
}

FakeEngine::FakeEngine(EngineSettings settings)
    : settings_(settings),
      model_(settings.batch),
      random_(settings.seed),
      thread_([this] { Run(); }) {}

FakeEngine::~FakeEngine() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void FakeEngine::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string control = "/control/";
  if (request.path == "/v1/chat/completions")
    return Complete(exchange);
  if (request.path == "/control/test")
    return SetFaults(exchange);
  if (request.path.starts_with(control))
    return HandleControl(exchange, request.path.substr(control.size()));
  if (request.path == "/load")
    return exchange.Respond(200, DelayedLoad());
  if (request.path == "/ledger")
    return exchange.Respond(200, Ledger());
  exchange.RespondError(404, "no route " + request.path);
}

void FakeEngine::Run() {
  base::TimePoint last = std::chrono::steady_clock::now();
  while (true) {
    std::this_thread::sleep_for(kModelStep);
    std::lock_guard lock(mutex_);
    if (stopping_)
      return;
    base::TimePoint now = std::chrono::steady_clock::now();
    std::chrono::duration<double> elapsed = now - last;
    last = now;
    if (!faults_.hang)
      model_.Step(elapsed.count(), faults_.speed);
    SampleLoad(now);
  }
}

void FakeEngine::SampleLoad(base::TimePoint now) {
  if (!samples_.empty() && now - samples_.back().time < kSampleInterval)
    return;
  samples_.push_back({now,
                      {{"running", model_.running()},
                       {"queued", model_.queued()},
                       {"backlog_tokens", model_.backlog_tokens()},
                       {"cache_tokens", model_.cache().total_tokens()},
                       {"role", role_},
                       {"loaded", loaded_}}});
  while (samples_.size() > 1 && samples_[1].time <= now - settings_.load_lag)
    samples_.pop_front();
}

void FakeEngine::Complete(HttpExchange& exchange) {
  Json request = Json::parse(exchange.request().body);
  auto job = std::make_shared<BatchJob>();
  job->prompt = PromptText(request);
  job->priority = request.value("priority", 0);
  job->cache_key = request.value("cache_key", "");
  std::int64_t limit = request.value("max_tokens", kDefaultMaxTokens);
  job->output_tokens = std::min(limit, RequestedTokens(request, job->prompt));
  if (limit <= 0 || request.at("messages").empty())
    return exchange.RespondError(400,
                                 "max_tokens and messages must not be empty");
  {
    std::lock_guard lock(mutex_);
    if (random_.Uniform() < faults_.fail_rate) {
      ++totals_["failed"];
      return exchange.RespondError(500, "injected failure");
    }
    model_.Submit(job);
  }
  bool stream = request.value("stream", false);
  if (!WaitForCompletion(exchange, *job, request, stream)) {
    RecordRequest(job, request, "cancelled");
    return exchange.DropConnection();
  }
  // Recorded before the response is sent, so that a caller that reads the
  // ledger next finds the request.
  RecordRequest(job, request, "finished");
  if (stream) {
    exchange.SendEvent(Chunk(request, "", FinishReason(request, *job)).dump());
    exchange.SendEvent(Json{
        {"object", "chat.completion.chunk"},
        {"choices", Json::array()},
        {"usage",
         Usage(*job)}}.dump());
    return exchange.SendEvent("[DONE]");
  }
  Json message = {{"role", "assistant"},
                  {"content", ResponseText(request, job->output_tokens)}};
  exchange.Respond(200,
                   Json{{"object", "chat.completion"},
                        {"model", request.value("model", "default")},
                        {"choices",
                         {{{"index", 0},
                           {"message", message},
                           {"finish_reason", FinishReason(request, *job)}}}},
                        {"usage", Usage(*job)}});
}

bool FakeEngine::WaitForCompletion(HttpExchange& exchange,
                                   BatchJob& job,
                                   const Json& request,
                                   bool stream) {
  std::string marker = ResponseMarker(LastMessage(request));
  std::int64_t sent = 0;
  if (stream)
    exchange.StartEventStream();
  while (sent < job.output_tokens) {
    std::int64_t emitted = 0;
    {
      std::unique_lock lock(mutex_);
      job.progress.wait_for(lock, kClientCheckInterval,
                            [&] { return job.emitted() > sent; });
      emitted = job.emitted();
      if (job.running && !faults_.crash_on.empty() &&
          job.prompt.find(faults_.crash_on) != std::string::npos)
        std::abort();
    }
    for (; sent < emitted; ++sent) {
      if (stream)
        exchange.SendEvent(
            Chunk(request, TokenText(marker, sent), nullptr).dump());
    }
    if (exchange.ClientClosed())
      return false;
  }
  return true;
}

void FakeEngine::HandleControl(HttpExchange& exchange,
                               const std::string& command) {
  Json body = Json::parse(exchange.request().body);
  std::lock_guard lock(mutex_);
  if (!CheckFencingToken(body))
    return exchange.RespondError(409, "stale fencing token");
  if (command == "release") {
    bool released = model_.cache().Release(body.at("cache_key"));
    return exchange.Respond(200, Json{{"released", released}});
  }
  if (command == "load") {
    loaded_.push_back(body.at("model").get<std::string>() + "/" +
                      body.value("adapter", "") + "@" +
                      body.value("version", ""));
    return exchange.Respond(200, Json{{"loaded", loaded_.back()}});
  }
  if (command == "role") {
    role_ = body.at("role");
    return exchange.Respond(200, Json{{"role", role_}});
  }
  exchange.RespondError(404, "no command " + command);
}

void FakeEngine::SetFaults(HttpExchange& exchange) {
  Json body = Json::parse(exchange.request().body);
  std::lock_guard lock(mutex_);
  faults_.speed = body.value("speed", faults_.speed);
  faults_.hang = body.value("hang", faults_.hang);
  faults_.fail_rate = body.value("fail_rate", faults_.fail_rate);
  faults_.crash_on = body.value("crash_on", faults_.crash_on);
  exchange.Respond(200, Json::object());
}

bool FakeEngine::CheckFencingToken(const Json& command) {
  if (!settings_.check_fencing)
    return true;
  std::uint64_t& highest = highest_fencing_tokens_[command.value("scope", "")];
  std::uint64_t token = command.at("fencing_token");
  bool current = token >= highest;
  highest = std::max(highest, token);
  return current;
}

void FakeEngine::RecordRequest(const std::shared_ptr<BatchJob>& job,
                               const Json& request,
                               const std::string& state) {
  std::lock_guard lock(mutex_);
  model_.Remove(job);
  std::int64_t prefilled = TokenCount(job->prompt) - job->cached_tokens -
                           static_cast<std::int64_t>(job->prefill_left);
  ++totals_[state];
  totals_["prefilled_tokens"] += prefilled;
  totals_["cached_tokens"] += job->cached_tokens;
  totals_["generated_tokens"] += job->emitted();
  // The computed prefix stays cached, also after a cancellation.
  if (!job->cache_key.empty() && job->running)
    model_.cache().Store(job->cache_key,
                         job->prompt + "assistant: " +
                             ResponseText(request, job->emitted()) + "\n");
  requests_.push_back({{"ref", request.value("ref", "")},
                       {"state", state},
                       {"cache_key", job->cache_key},
                       {"prompt_tokens", TokenCount(job->prompt)},
                       {"cached_tokens", job->cached_tokens},
                       {"prefilled_tokens", prefilled},
                       {"completion_tokens", job->emitted()},
                       {"at_us", LedgerTimeUs()}});
}

nlohmann::json FakeEngine::DelayedLoad() {
  std::lock_guard lock(mutex_);
  return samples_.empty() ? Json::object() : samples_.front().load;
}

nlohmann::json FakeEngine::Ledger() {
  std::lock_guard lock(mutex_);
  return {{"requests", requests_},
          {"totals", totals_},
          {"cache", model_.cache().tokens_by_key()}};
}

}  // namespace vanillalever::fakes
