#include "vanillalever/http/message.h"

#include <array>

#include <nlohmann/json.hpp>

namespace vanillalever::http {
namespace {

using base::ErrorCode;

// HTTP status codes, in the order of base::ErrorCode.
constexpr std::array<int, 18> kHttpStatuses = {
    400,  // invalid_request
    401,  // unauthenticated
    403,  // forbidden
    404,  // not_found
    409,  // turn_conflict
    402,  // budget_exhausted
    403,  // limit_reached
    409,  // program_ended
    413,  // too_large
    504,  // timeout
    429,  // overloaded
    503,  // unavailable
    422,  // quarantined
    503,  // not_owner
    502,  // outcome_unknown
    409,  // conflict
    502,  // backend_failed
    500,  // internal
};

constexpr std::size_t kMaxExcerptBytes = 200;

}  // namespace

std::string Request::header(const std::string& name) const {
  auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string Request::bearer_token() const {
  constexpr std::string_view kPrefix = "Bearer ";
  std::string value = header("authorization");
  if (!value.starts_with(kPrefix))
    return "";
  return value.substr(kPrefix.size());
}

int HttpStatus(ErrorCode code) {
  return kHttpStatuses.at(static_cast<std::size_t>(code));
}

std::string ErrorBody(const base::ErrorInfo& info) {
  nlohmann::json error = {
      {"code", base::kErrorCodeNames.name(info.code)},
      {"message", info.message},
      {"step", base::kStepNames.name(info.step)},
      {"peer", info.peer},
      {"ran", base::kExecutionStatusNames.name(info.ran)},
      {"retry_after_ms", info.retry_after.count()},
  };
  // Messages may contain input that is not valid UTF-8.
  return nlohmann::json{{"error", error}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Response ErrorResponse(const base::ErrorInfo& info) {
  Response response;
  response.status = HttpStatus(info.code);
  response.body = ErrorBody(info);
  if (info.retry_after.count() > 0) {
    auto whole_seconds = (info.retry_after.count() + 999) / 1000;
    response.headers.emplace_back("Retry-After", std::to_string(whole_seconds));
  }
  return response;
}

base::ErrorInfo ParseErrorBody(const std::string& body, ErrorCode fallback) {
  base::ErrorInfo info;
  info.code = fallback;
  info.message = body.substr(0, kMaxExcerptBytes);
  // Such a body does not prove that the call was not executed.
  info.ran = base::ExecutionStatus::kUnknown;
  auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error"))
    return info;
  const auto& error = parsed["error"];
  if (!error.is_object())
    return info;
  auto text = [&error](const char* key) {
    auto found = error.find(key);
    return found != error.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
  };
  info.code = base::kErrorCodeNames.value(text("code")).value_or(fallback);
  info.message = text("message");
  info.step = base::kStepNames.value(text("step")).value_or(base::Step::kRun);
  info.peer = text("peer");
  info.ran = base::kExecutionStatusNames.value(text("ran"))
                 .value_or(base::ExecutionStatus::kUnknown);
  if (auto found = error.find("retry_after_ms");
      found != error.end() && found->is_number_integer()) {
    info.retry_after = std::chrono::milliseconds(found->get<std::int64_t>());
  }
  return info;
}

}  // namespace vanillalever::http
