#include "vanillalever/platform/http_platform_store.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "vanillalever/platform/store_json.h"

namespace vanillalever::platform {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;

base::Error StoreError(base::ErrorCode code,
                       std::string message,
                       std::string address,
                       base::ExecutionStatus ran) {
  base::ErrorInfo info;
  info.code = code;
  info.message = std::move(message);
  info.step = base::Step::kStore;
  info.peer = std::move(address);
  info.ran = ran;
  return base::Error(std::move(info));
}

// The failure of an attempt, or nullopt if the endpoint handled the request.
std::optional<base::ErrorInfo> AttemptFailure(
    const http::ClientResult& result) {
  if (result.error)
    return result.error;
  base::ErrorInfo info;
  info.code = base::ErrorCode::kUnavailable;
  info.message =
      "the platform answered with status " + std::to_string(result.status);
  // A proxy may respond with 5xx although the platform applied the request.
  info.ran = base::ExecutionStatus::kUnknown;
  if (result.status >= kServerError)
    return info;
  info.ran = base::ExecutionStatus::kNotRun;
  if (result.status == kTooManyRequests)
    return info;
  return std::nullopt;
}

base::Error UnexpectedStatusError(int status,
                                  const std::string& body,
                                  std::string address) {
  constexpr std::size_t kExcerptBytes = 200;
  base::ErrorCode code = status == kBadRequest
                             ? base::ErrorCode::kInvalidRequest
                             : base::ErrorCode::kBackendFailed;
  return StoreError(
      code,
      "status " + std::to_string(status) + ": " + body.substr(0, kExcerptBytes),
      std::move(address), base::ExecutionStatus::kNotRun);
}

// Parses the JSON body of a response by `parse`.
template <typename Parse>
auto ParseResponse(const std::string& body,
                   const std::string& address,
                   base::ExecutionStatus ran_if_malformed,
                   Parse parse) {
  try {
    return parse(nlohmann::json::parse(body));
  } catch (const nlohmann::json::exception& error) {
    throw StoreError(base::ErrorCode::kBackendFailed,
                     std::string("malformed answer: ") + error.what(), address,
                     ran_if_malformed);
  }
}

// Serializes the transaction as JSON. Throws invalid_request for text that is
// not UTF-8.
std::string EncodeTransaction(const Transaction& transaction) {
  try {
    return ToJson(transaction).dump();
  } catch (const nlohmann::json::exception& error) {
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kStore, error.what());
  }
}

http::ClientSettings ToClientSettings(const HttpPlatformSettings& settings) {
  http::ClientSettings client;
  client.connect_timeout = settings.connect_timeout;
  client.max_idle_per_address = settings.max_idle_per_address;
  return client;
}

}  // namespace

HttpPlatformStore::HttpPlatformStore(HttpPlatformSettings settings)
    : settings_(std::move(settings)), client_(ToClientSettings(settings_)) {
  if (settings_.addresses.empty())
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kConfigure, "no platform address");
}

std::optional<Row> HttpPlatformStore::Read(const std::string& key) {
  Response response = Get("/table/" + PercentEncode(key));
  if (response.status == kNotFound)
    return std::nullopt;
  if (response.status != kOk)
    throw UnexpectedStatusError(response.status, response.body,
                                response.address);
  return ParseResponse(response.body, response.address,
                       base::ExecutionStatus::kNotRun, ParseRow);
}

std::vector<Row> HttpPlatformStore::Scan(const std::string& prefix) {
  Response response = Get("/table?prefix=" + PercentEncode(prefix));
  if (response.status != kOk)
    throw UnexpectedStatusError(response.status, response.body,
                                response.address);
  return ParseResponse(response.body, response.address,
                       base::ExecutionStatus::kNotRun,
                       [](const nlohmann::json& json) {
                         std::vector<Row> rows;
                         for (const nlohmann::json& row : json.at("rows"))
                           rows.push_back(ParseRow(row));
                         return rows;
                       });
}

CommitResult HttpPlatformStore::Commit(const Transaction& transaction) {
  ValidateTransaction(transaction);
  http::ClientRequest request;
  request.method = "POST";
  request.target = "/transaction";
  request.body = EncodeTransaction(transaction);
  // On a keep-alive connection the client may send the request twice. The
  // second copy would conflict with the first and be taken for a definite
  // conflict.
  request.new_connection = true;
  Response response = Send(std::move(request), CallKind::kCommit);
  if (response.status == kOk)
    return ParseResponse(response.body, response.address,
                         base::ExecutionStatus::kUnknown,
                         [](const nlohmann::json& json) -> CommitResult {
                           return {.applied = true,
                                   .version = json.at("version"),
                                   .conflict_key = ""};
                         });
  if (response.status == kConflict)
    return ParseResponse(response.body, response.address,
                         base::ExecutionStatus::kNotRun,
                         [](const nlohmann::json& json) -> CommitResult {
                           return {.applied = false,
                                   .version = 0,
                                   .conflict_key = json.at("conflict_key")};
                         });
  throw UnexpectedStatusError(response.status, response.body, response.address);
}

void HttpPlatformStore::PutObject(const std::string& name,
                                  const std::string& data) {
  http::ClientRequest request;
  request.method = "PUT";
  request.target = "/objects/" + PercentEncode(name);
  request.content_type = "application/octet-stream";
  request.body = data;
  Response response = Send(std::move(request), CallKind::kObjectWrite);
  if (response.status != kOk)
    throw UnexpectedStatusError(response.status, response.body,
                                response.address);
}

std::optional<std::string> HttpPlatformStore::FetchObject(
    const std::string& name) {
  Response response = Get("/objects/" + PercentEncode(name));
  if (response.status == kNotFound)
    return std::nullopt;
  if (response.status != kOk)
    throw UnexpectedStatusError(response.status, response.body,
                                response.address);
  return std::move(response.body);
}

void HttpPlatformStore::DeleteObject(const std::string& name) {
  http::ClientRequest request;
  request.method = "DELETE";
  request.target = "/objects/" + PercentEncode(name);
  Response response = Send(std::move(request), CallKind::kObjectWrite);
  if (response.status != kOk && response.status != kNotFound)
    throw UnexpectedStatusError(response.status, response.body,
                                response.address);
}

std::vector<InstanceRecord> HttpPlatformStore::Instances() {
  Response response = Get("/instances");
  if (response.status != kOk)
    throw UnexpectedStatusError(response.status, response.body,
                                response.address);
  return ParseResponse(
      response.body, response.address, base::ExecutionStatus::kNotRun,
      [](const nlohmann::json& json) {
        std::vector<InstanceRecord> records;
        for (const nlohmann::json& record : json.at("instances"))
          records.push_back(ParseInstance(record));
        return records;
      });
}

HttpPlatformStore::Response HttpPlatformStore::Send(http::ClientRequest request,
                                                    CallKind kind) {
  const base::TimePoint deadline =
      std::chrono::steady_clock::now() + settings_.call_timeout;
  const std::size_t count = settings_.addresses.size();
  const std::size_t first_index = preferred_;
  base::ErrorInfo last_failure;
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t index = (first_index + i) % count;
    base::Duration remaining = deadline - std::chrono::steady_clock::now();
    if (remaining <= base::Duration::zero())
      break;
    request.address = settings_.addresses[index];
    // Reserves time for the remaining addresses if this one does not respond.
    bool repeatable = kind != CallKind::kCommit;
    request.timeout =
        repeatable ? remaining / static_cast<int>(count - i) : remaining;
    http::ClientResult result = client_.Send(request);
    std::optional<base::ErrorInfo> attempt_failure = AttemptFailure(result);
    if (!attempt_failure) {
      preferred_ = index;
      return {request.address, result.status, std::move(result.body)};
    }
    preferred_ = (index + 1) % count;
    // If an earlier attempt may have taken effect, the outcome stays unknown.
    bool was_unknown =
        i > 0 && last_failure.ran == base::ExecutionStatus::kUnknown;
    last_failure = *attempt_failure;
    last_failure.peer = request.address;
    if (was_unknown)
      last_failure.ran = base::ExecutionStatus::kUnknown;
    if (!repeatable && last_failure.ran != base::ExecutionStatus::kNotRun)
      break;
  }
  last_failure.step = base::Step::kStore;
  if (kind == CallKind::kRead)
    last_failure.ran = base::ExecutionStatus::kNotRun;
  throw base::Error(std::move(last_failure));
}

HttpPlatformStore::Response HttpPlatformStore::Get(std::string target) {
  http::ClientRequest request;
  request.target = std::move(target);
  return Send(std::move(request), CallKind::kRead);
}

}  // namespace vanillalever::platform
