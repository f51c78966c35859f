#include "entry_client.h"

#include "vanillalever/http/event_parser.h"
#include "vanillalever/http/message.h"

namespace vanillalever::load {
namespace {

constexpr int kFirstErrorStatus = 300;

http::ClientSettings LoadClientSettings() {
  http::ClientSettings settings;
  settings.max_idle_per_address = 256;
  return settings;
}

base::ErrorInfo Malformed(const std::string& what) {
  base::ErrorInfo info;
  info.code = base::ErrorCode::kBackendFailed;
  info.message = "malformed answer of the entry: " + what;
  info.step = base::Step::kAnswer;
  info.ran = base::ExecutionStatus::kUnknown;
  return info;
}

EntryAnswer ToAnswer(const http::ClientResult& result) {
  EntryAnswer answer;
  if (result.error) {
    answer.error = result.error;
  } else if (result.status >= kFirstErrorStatus) {
    answer.error =
        http::ParseErrorBody(result.body, base::ErrorCode::kInternal);
  } else {
    answer.body = nlohmann::json::parse(result.body, nullptr, false);
    if (!answer.body.is_object())
      answer.error = Malformed(result.body);
  }
  return answer;
}

// Collects the events of one streamed answer.
struct StreamState {
  EntryAnswer answer;
  // Set by a `done` or `error` event.
  bool ended = false;

  void Take(const http::Event& event) {
    if (event.name == "error") {
      answer.error =
          http::ParseErrorBody(event.data, base::ErrorCode::kInternal);
      ended = true;
      return;
    }
    nlohmann::json data = nlohmann::json::parse(event.data, nullptr, false);
    if (!data.is_object()) {
      answer.error = Malformed(event.data);
    } else if (event.name == "token") {
      answer.streamed += data.value("text", "");
    } else if (event.name == "reset") {
      answer.streamed.clear();
    } else if (event.name == "done") {
      answer.body = std::move(data);
      ended = true;
    }
  }
};

}  // namespace

EntryClient::EntryClient(EntrySettings settings)
    : settings_(std::move(settings)), client_(LoadClientSettings()) {}

EntryAnswer EntryClient::Get(const std::string& target) {
  return ToAnswer(client_.Send(MakeRequest("GET", target)));
}

EntryAnswer EntryClient::Post(const std::string& target,
                              const nlohmann::json& body) {
  http::ClientRequest request = MakeRequest("POST", target);
  request.body = body.dump();
  return ToAnswer(client_.Send(std::move(request)));
}

EntryAnswer EntryClient::PostStreamed(
    const std::string& target,
    const nlohmann::json& body,
    const std::function<void()>& on_first_token) {
  http::ClientRequest request = MakeRequest("POST", target);
  request.body = body.dump();
  StreamState state;
  bool first = true;
  http::EventParser parser([&](const http::Event& event) {
    if (event.name == "token" && std::exchange(first, false))
      on_first_token();
    state.Take(event);
  });
  http::ClientResult result = client_.Send(
      std::move(request), [&](std::string_view data) { parser.Feed(data); });
  bool streamed = !result.error && result.status < kFirstErrorStatus;
  if (!streamed && !state.ended)
    return ToAnswer(result);
  if (!state.ended && !state.answer.error)
    state.answer.error = Malformed("the stream ended without done or error");
  return std::move(state.answer);
}

http::ClientRequest EntryClient::MakeRequest(const std::string& method,
                                             const std::string& target) {
  http::ClientRequest request;
  request.address = settings_.entries[next_entry_++ % settings_.entries.size()];
  request.method = method;
  request.target = target;
  request.timeout = settings_.request_timeout;
  request.headers.emplace_back("Authorization", "Bearer " + settings_.token);
  return request;
}

}  // namespace vanillalever::load
