#include "entry_client.h"

#include <string_view>
#include <utility>

#include "vanillalever/http/message.h"

namespace vanillalever::ctl {
namespace {

constexpr int kStatusOk = 200;

// Decodes the body of a successful response. A malformed body was not written
// by the entry, so the entry is treated as unavailable.
template <typename T>
T Decode(T (*decode)(std::string_view), const std::string& body) {
  try {
    return decode(body);
  } catch (const base::Error& error) {
    base::ErrorInfo info = error.info();
    info.code = base::ErrorCode::kUnavailable;
    throw base::Error(std::move(info));
  }
}

}  // namespace

config::ConfigResponse EntryClient::Config(
    std::optional<std::int64_t> version) {
  std::string target = "/admin/v1/config";
  if (version)
    target += "?version=" + std::to_string(*version);
  return Decode(&config::AdminCodec::DecodeConfig, Get(target));
}

std::vector<config::ConfigVersion> EntryClient::History() {
  return Decode(&config::AdminCodec::DecodeHistory, Get("/admin/v1/history"));
}

config::AdminStatus EntryClient::Status() {
  return Decode(&config::AdminCodec::DecodeStatus, Get("/admin/v1/status"));
}

std::string EntryClient::Program(const std::string& id) {
  return Get("/admin/v1/programs/" + id);
}

ChangeOutcome EntryClient::Validate(const config::ChangeSet& change) {
  return Post("/admin/v1/validate", change);
}

ChangeOutcome EntryClient::Apply(const config::ChangeSet& change) {
  return Post("/admin/v1/apply", change);
}

std::string EntryClient::Get(const std::string& target) {
  http::ClientResult result = channel_.Send("GET", target, "");
  if (result.error)
    throw base::Error(*result.error);
  if (result.status != kStatusOk)
    throw base::Error(
        http::ParseErrorBody(result.body, base::ErrorCode::kUnavailable));
  return std::move(result.body);
}

ChangeOutcome EntryClient::Post(const std::string& target,
                                const config::ChangeSet& change) {
  http::ClientResult result =
      channel_.Send("POST", target, config::AdminCodec::EncodeChange(change));
  ChangeOutcome outcome;
  if (result.error) {
    outcome.failure = result.error;
    return outcome;
  }
  try {
    outcome.response = config::AdminCodec::DecodeChangeResponse(result.body);
  } catch (const base::Error&) {
    // Handled below, like any response that the admin API did not write.
  }
  if (!outcome.response ||
      (result.status != kStatusOk && !outcome.response->error)) {
    outcome.response.reset();
    outcome.failure =
        http::ParseErrorBody(result.body, base::ErrorCode::kUnavailable);
    outcome.failure->ran = base::ExecutionStatus::kUnknown;
    return outcome;
  }
  if (outcome.response->error &&
      outcome.response->error->ran != base::ExecutionStatus::kNotRun)
    outcome.failure = outcome.response->error;
  return outcome;
}

ExitCode ExitCodeOf(const base::ErrorInfo& error) {
  switch (error.code) {
    case base::ErrorCode::kConflict:
      return ExitCode::kConflict;
    case base::ErrorCode::kUnavailable:
    case base::ErrorCode::kTimeout:
    case base::ErrorCode::kOverloaded:
    case base::ErrorCode::kOutcomeUnknown:
    case base::ErrorCode::kInternal:
      return ExitCode::kUnknown;
    default:
      return ExitCode::kRejected;
  }
}

}  // namespace vanillalever::ctl
