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

base::ErrorInfo MalformedResponse(const std::string& what) {
  base::ErrorInfo info;
  info.code = base::ErrorCode::kBackendFailed;
  info.message = "malformed response from the entry: " + what;
  info.step = base::Step::kAnswer;
  info.ran = base::ExecutionStatus::kUnknown;
  return info;
}

EntryResponse ToEntryResponse(const http::ClientResult& result) {
  EntryResponse response;
  if (result.error) {
    response.error = result.error;
  } else if (result.status >= kFirstErrorStatus) {
    response.error =
        http::ParseErrorBody(result.body, base::ErrorCode::kInternal);
  } else {
    response.body = nlohmann::json::parse(result.body, nullptr, false);
    if (!response.body.is_object())
      response.error = MalformedResponse(result.body);
  }
  return response;
}

// Collects the events of one streamed response.
struct StreamState {
  EntryResponse response;
  // Set by a `done` or `error` event.
  bool ended = false;

  void OnEvent(const http::Event& event) {
    if (event.name == "error") {
      response.error =
          http::ParseErrorBody(event.data, base::ErrorCode::kInternal);
      ended = true;
      return;
    }
    nlohmann::json data = nlohmann::json::parse(event.data, nullptr, false);
    if (!data.is_object()) {
      response.error = MalformedResponse(event.data);
    } else if (event.name == "token") {
      response.streamed += data.value("text", "");
    } else if (event.name == "reset") {
      response.streamed.clear();
    } else if (event.name == "done") {
      response.body = std::move(data);
      ended = true;
    }
  }
};

}  // namespace

EntryClient::EntryClient(EntrySettings settings)
    : settings_(std::move(settings)), client_(LoadClientSettings()) {}

EntryResponse EntryClient::Get(const std::string& target) {
  return ToEntryResponse(client_.Send(MakeRequest("GET", target)));
}

EntryResponse EntryClient::Post(const std::string& target,
                                const nlohmann::json& body) {
  http::ClientRequest request = MakeRequest("POST", target);
  request.body = body.dump();
  return ToEntryResponse(client_.Send(std::move(request)));
}

EntryResponse EntryClient::PostStreamed(
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
    state.OnEvent(event);
  });
  http::ClientResult result = client_.Send(
      std::move(request), [&](std::string_view data) { parser.Feed(data); });
  bool streamed = !result.error && result.status < kFirstErrorStatus;
  if (!streamed && !state.ended)
    return ToEntryResponse(result);
  if (!state.ended && !state.response.error)
    state.response.error =
        MalformedResponse("the stream ended without done or error");
  return std::move(state.response);
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
