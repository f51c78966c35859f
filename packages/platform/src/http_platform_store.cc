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

// The failure of one attempt; nothing if the endpoint answered the request.
std::optional<base::ErrorInfo> FailureOf(const http::ClientResult& result) {
  if (result.error)
    return result.error;
  base::ErrorInfo info;
  info.code = base::ErrorCode::kUnavailable;
  info.message =
      "the platform answered with status " + std::to_string(result.status);
  // A gateway may answer with 5xx although the platform applied the request.
  info.ran = base::ExecutionStatus::kUnknown;
  if (result.status >= kServerError)
    return info;
  info.ran = base::ExecutionStatus::kNotRun;
  if (result.status == kTooManyRequests)
    return info;
  return std::nullopt;
}

base::Error UnexpectedStatus(int status,
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

// Applies `parse` to the answer's JSON text.
template <typename Parse>
auto ParseAnswer(const std::string& body,
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

// Text of the transaction's JSON form. Throws invalid_request for text that is
// not UTF-8.
std::string Encode(const Transaction& transaction) {
  try {
    return ToJson(transaction).dump();
  } catch (const nlohmann::json::exception& error) {
    throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kStore,
                       error.what());
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
    throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kConfigure,
                       "no platform address");
}

std::optional<Row> HttpPlatformStore::Read(const std::string& key) {
  Answer answer = Get("/table/" + PercentEncode(key));
  if (answer.status == kNotFound)
    return std::nullopt;
  if (answer.status != kOk)
    throw UnexpectedStatus(answer.status, answer.body, answer.address);
  return ParseAnswer(answer.body, answer.address, base::ExecutionStatus::kNotRun, ParseRow);
}

std::vector<Row> HttpPlatformStore::Scan(const std::string& prefix) {
  Answer answer = Get("/table?prefix=" + PercentEncode(prefix));
  if (answer.status != kOk)
    throw UnexpectedStatus(answer.status, answer.body, answer.address);
  return ParseAnswer(answer.body, answer.address, base::ExecutionStatus::kNotRun,
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
  request.body = Encode(transaction);
  // On a kept connection the client may send the request twice. The second copy
  // would conflict with the first, which would look like a definite conflict.
  request.new_connection = true;
  Answer answer = Send(std::move(request), Kind::kCommit);
  if (answer.status == kOk)
    return ParseAnswer(answer.body, answer.address, base::ExecutionStatus::kUnknown,
                       [](const nlohmann::json& json) -> CommitResult {
                         return {.applied = true,
                                 .version = json.at("version"),
                                 .conflict_key = ""};
                       });
  if (answer.status == kConflict)
    return ParseAnswer(answer.body, answer.address, base::ExecutionStatus::kNotRun,
                       [](const nlohmann::json& json) -> CommitResult {
                         return {.applied = false,
                                 .version = 0,
                                 .conflict_key = json.at("conflict_key")};
                       });
  throw UnexpectedStatus(answer.status, answer.body, answer.address);
}

void HttpPlatformStore::PutObject(const std::string& name,
                                  const std::string& data) {
  http::ClientRequest request;
  request.method = "PUT";
  request.target = "/objects/" + PercentEncode(name);
  request.content_type = "application/octet-stream";
  request.body = data;
  Answer answer = Send(std::move(request), Kind::kObjectWrite);
  if (answer.status != kOk)
    throw UnexpectedStatus(answer.status, answer.body, answer.address);
}

std::optional<std::string> HttpPlatformStore::FetchObject(
    const std::string& name) {
  Answer answer = Get("/objects/" + PercentEncode(name));
  if (answer.status == kNotFound)
    return std::nullopt;
  if (answer.status != kOk)
    throw UnexpectedStatus(answer.status, answer.body, answer.address);
  return std::move(answer.body);
}

void HttpPlatformStore::DeleteObject(const std::string& name) {
  http::ClientRequest request;
  request.method = "DELETE";
  request.target = "/objects/" + PercentEncode(name);
  Answer answer = Send(std::move(request), Kind::kObjectWrite);
  if (answer.status != kOk && answer.status != kNotFound)
    throw UnexpectedStatus(answer.status, answer.body, answer.address);
}

std::vector<InstanceRecord> HttpPlatformStore::Instances() {
  Answer answer = Get("/instances");
  if (answer.status != kOk)
    throw UnexpectedStatus(answer.status, answer.body, answer.address);
  return ParseAnswer(answer.body, answer.address, base::ExecutionStatus::kNotRun,
                     [](const nlohmann::json& json) {
                       std::vector<InstanceRecord> records;
                       for (const nlohmann::json& record : json.at("instances"))
                         records.push_back(ParseInstance(record));
                       return records;
                     });
}

HttpPlatformStore::Answer HttpPlatformStore::Send(http::ClientRequest request,
                                                  Kind kind) {
  const base::TimePoint deadline =
      std::chrono::steady_clock::now() + settings_.call_timeout;
  const std::size_t count = settings_.addresses.size();
  const std::size_t first = preferred_;
  base::ErrorInfo failure;
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t index = (first + i) % count;
    base::Duration left = deadline - std::chrono::steady_clock::now();
    if (left <= base::Duration::zero())
      break;
    request.address = settings_.addresses[index];
    // Leaves time for the addresses after one that does not answer.
    bool repeatable = kind != Kind::kCommit;
    request.timeout = repeatable ? left / static_cast<int>(count - i) : left;
    http::ClientResult result = client_.Send(request);
    std::optional<base::ErrorInfo> failed = FailureOf(result);
    if (!failed) {
      preferred_ = index;
      return {request.address, result.status, std::move(result.body)};
    }
    preferred_ = (index + 1) % count;
    // An earlier attempt that may have taken effect keeps the outcome unknown.
    bool was_unknown = i > 0 && failure.ran == base::ExecutionStatus::kUnknown;
    failure = *failed;
    failure.peer = request.address;
    if (was_unknown)
      failure.ran = base::ExecutionStatus::kUnknown;
    if (!repeatable && failure.ran != base::ExecutionStatus::kNotRun)
      break;
  }
  failure.step = base::Step::kStore;
  if (kind == Kind::kRead)
    failure.ran = base::ExecutionStatus::kNotRun;
  throw base::Error(std::move(failure));
}

HttpPlatformStore::Answer HttpPlatformStore::Get(std::string target) {
  http::ClientRequest request;
  request.target = std::move(target);
  return Send(std::move(request), Kind::kRead);
}

}  // namespace vanillalever::platform
