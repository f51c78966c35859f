#include <utility>

#include <nlohmann/json.hpp>

#include "backend.h"
#include "vanillalever/http/event_parser.h"
#include "vanillalever/http/json_body.h"

namespace vanillalever::sidecar {
namespace {

using Json = nlohmann::json;

// Timeout of a control command.
constexpr base::Duration kControlTimeout = base::seconds(2);

// Assembles a streamed chat completion. Used by a single request, whose
// callbacks never run concurrently.
class CompletionStream {
 public:
  explicit CompletionStream(Backend::TokenCallback on_token)
      : on_token_(std::move(on_token)),
        parser_([this](const http::Event& event) { OnEvent(event.data); }) {}

  void Feed(std::string_view data) { parser_.Feed(data); }

  // Whether the "[DONE]" event arrived. Without it the response is truncated.
  bool complete() const { return complete_; }

  void FillResult(BackendResult& result) const {
    Json message = {{"role", "assistant"}, {"content", content_}};
    Json choice = {
        {"index", 0}, {"message", message}, {"finish_reason", finish_reason_}};
    result.body =
        Json{{"object", "chat.completion"}, {"choices", Json::array({choice})}}
            .dump(-1, ' ', false, Json::error_handler_t::replace);
    result.prompt_tokens = usage_.value("prompt_tokens", 0U);
    result.output_tokens = usage_.value("completion_tokens", delta_count_);
    if (auto details = usage_.find("prompt_tokens_details");
        details != usage_.end() && details->is_object())
      result.cached_tokens = details->value("cached_tokens", 0U);
  }

 private:
  void OnEvent(const std::string& data) {
    if (data == "[DONE]") {
      complete_ = true;
      return;
    }
    Json chunk = Json::parse(data, nullptr, false);
    if (!chunk.is_object())
      return;
    if (auto usage = chunk.find("usage");
        usage != chunk.end() && usage->is_object())
      usage_ = *usage;
    auto choices = chunk.find("choices");
    if (choices != chunk.end() && choices->is_array() && !choices->empty())
      OnChoice(choices->front());
  }

  void OnChoice(const Json& choice) {
    if (auto reason = choice.find("finish_reason");
        reason != choice.end() && reason->is_string())
      finish_reason_ = *reason;
    auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object())
      return;
    auto content = delta->find("content");
    if (content == delta->end() || !content->is_string() ||
        content->get_ref<const std::string&>().empty())
      return;
    ++delta_count_;
    content_ += content->get_ref<const std::string&>();
    if (on_token_)
      on_token_(*content);
  }

  Backend::TokenCallback on_token_;
  http::EventParser parser_;
  std::string content_;
  std::string finish_reason_ = "stop";
  Json usage_ = Json::object();
  std::uint32_t delta_count_ = 0;
  bool complete_ = false;
};

BackendResult ToResult(http::ClientResult response,
                       const CompletionStream& stream,
                       const std::string& address) {
  BackendResult result;
  if (response.error) {
    result.connection_lost = IsConnectionLost(response);
    result.error = std::move(response.error);
  } else if (response.status / 100 != 2) {
    result.error = StatusError(response.status, response.body, address);
  } else if (!stream.complete()) {
    result.error =
        StatusError(response.status, "the stream ended early", address);
    result.error->ran = base::ExecutionStatus::kUnknown;
    result.connection_lost = true;
  }
  stream.FillResult(result);
  return result;
}

class EngineBackend final : public Backend {
 public:
  EngineBackend(http::Client& client, std::string address)
      : client_(client), address_(std::move(address)) {}

  std::shared_ptr<http::ClientCall> Run(const protocol::ExecuteRequest& request,
                                        base::Duration timeout,
                                        TokenCallback on_token,
                                        DoneCallback on_done) override {
    http::ClientRequest call;
    try {
      call.body = RequestBody(request);
    } catch (const base::Error& error) {
      BackendResult result;
      result.error = error.info();
      on_done(std::move(result));
      return nullptr;
    }
    call.address = address_;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.timeout = timeout;
    call.new_connection = !request.repeatable;
    auto stream = std::make_shared<CompletionStream>(std::move(on_token));
    return client_.Send(
        std::move(call),
        [stream, address = address_,
         on_done = std::move(on_done)](http::ClientResult response) {
          on_done(ToResult(std::move(response), *stream, address));
        },
        [stream](std::string_view data) { stream->Feed(data); });
  }

  void Release(const CacheRelease& release,
               std::function<void(bool)> on_done) override {
    http::ClientRequest command;
    command.address = address_;
    command.method = "POST";
    command.target = "/control/release";
    command.timeout = kControlTimeout;
    command.body = Json{{"cache_key", release.cache_key},
                        {"scope", "shard/" + std::to_string(release.shard)},
                        {"fencing_token", release.fence}}
                       .dump();
    client_.Send(std::move(command),
                 [on_done = std::move(on_done)](http::ClientResult response) {
                   on_done(!response.error && response.status / 100 == 2);
                 });
  }

  void Probe(std::function<void(bool)> on_done) override {
    ProbeServer(client_, address_, std::move(on_done));
  }

 private:
  // For engines higher numbers are more urgent, but in requests lower ones are.
  static constexpr int kPriorityBase = 100;

  static std::string RequestBody(const protocol::ExecuteRequest& request) {
    Json body = http::ParseJsonObject(request.body);
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body["max_tokens"] = request.max_tokens;
    body["priority"] = kPriorityBase - static_cast<int>(request.priority);
    if (!request.prefix_key.empty())
      body["cache_key"] = request.prefix_key;
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  http::Client& client_;
  std::string address_;
};

}  // namespace

std::unique_ptr<Backend> MakeEngineBackend(http::Client& client,
                                           std::string address) {
  return std::make_unique<EngineBackend>(client, std::move(address));
}

}  // namespace vanillalever::sidecar
