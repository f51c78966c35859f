#include "config_service.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "vanillalever/base/logging.h"

namespace vanillalever::entry {
namespace {

// A poll is late by this multiple of its interval only if the process was
// paused.
constexpr int kPausedPollFactor = 2;
// Maximum number of versions listed by History(); older ones can be read
// singly.
constexpr std::int64_t kMaxHistoryVersions = 200;
constexpr base::Duration kApplyTimeout = base::seconds(10);

}  // namespace

ConfigService::ConfigService(platform::PlatformStore& store,
                             base::Duration poll_interval,
                             base::CounterRegistry& counters)
    : store_(store),
      commit_(store,
              clock_,
              [](base::Duration pause) { std::this_thread::sleep_for(pause); }),
      poll_interval_(poll_interval),
      version_gauge_(counters.gauge("vl_config_version",
                                    "Configuration version in force.")),
      applied_changes_(counters.counter("vl_entry_config_changes_total",
                                        "Configuration changes by result.",
                                        "result=\"applied\"")),
      refused_changes_(counters.counter("vl_entry_config_changes_total",
                                        "Configuration changes by result.",
                                        "result=\"refused\"")) {}

ConfigView ConfigService::Peek() const {
  std::lock_guard lock(mutex_);
  return view_;
}

ConfigView ConfigService::Current() {
  bool overdue = false;
  {
    std::lock_guard lock(mutex_);
    overdue = clock_.now() - last_poll_ > kPausedPollFactor * poll_interval_;
  }
  if (overdue)
    Poll();
  ConfigView view = Peek();
  if (!view.body) {
    base::ErrorInfo info;
    info.code = base::ErrorCode::kUnavailable;
    info.step = base::Step::kConfigure;
    info.message = "no configuration is known yet";
    info.retry_after = base::milliseconds(500);
    throw base::Error(std::move(info));
  }
  return view;
}

void ConfigService::Poll() {
  std::lock_guard poll_lock(poll_mutex_);
  try {
    Head head = ReadHead();
    ConfigView view = Peek();
    std::int64_t published = view.body ? view.body->version.number : 0;
    if (head.head.number > published)
      Publish(ReadBody(head.head.number));
  } catch (const base::Error&) {
    // The published version stays in force; users of the store count its
    // failures.
  }
  std::lock_guard lock(mutex_);
  last_poll_ = clock_.now();
}

ConfigService::Head ConfigService::ReadHead() {
  Head head;
  auto row = store_.Read(std::string(config::kHeadKey));
  if (!row)
    return head;
  head.head = config::DecodeHead(row->value);
  head.row_version = row->version;
  return head;
}

std::shared_ptr<const config::ConfigBody> ConfigService::ReadBody(
    std::int64_t number) {
  if (number == 0)
    return std::make_shared<config::ConfigBody>();
  auto row = store_.Read(config::BodyKey(number));
  if (!row) {
    throw base::NotRunError(
        base::ErrorCode::kNotFound, base::Step::kConfigure,
        "no configuration version " + std::to_string(number));
  }
  return std::make_shared<config::ConfigBody>(config::DecodeBody(row->value));
}

void ConfigService::Publish(std::shared_ptr<const config::ConfigBody> body) {
  ConfigView view;
  view.tokens = std::make_shared<config::TokenVerifier>(body->set);
  view.encoded_body = std::make_shared<std::string>(config::EncodeBody(*body));
  view.body = std::move(body);
  std::int64_t number = view.body->version.number;
  {
    std::lock_guard lock(mutex_);
    if (view_.body && view_.body->version.number >= number)
      return;
    view_ = std::move(view);
  }
  version_gauge_.Set(number);
  base::LogEvent(base::LogLevel::kInfo, "config_in_force",
                 {{"version", std::to_string(number)}});
}

config::ChangeResult ConfigService::Merge(const config::ChangeSet& change,
                                          std::int64_t current) {
  auto base_body = ReadBody(change.base_version);
  if (change.base_version == current)
    return config::Apply(base_body->set, change);
  return config::Rebase(base_body->set, ReadBody(current)->set, change);
}

config::ChangeResponse ConfigService::Validate(
    const config::ChangeSet& change) {
  std::int64_t current = ReadHead().head.number;
  return config::AdminCodec::MakeChangeResponse(Merge(change, current),
                                                current);
}

config::ChangeResponse ConfigService::Apply(const config::ChangeSet& change) {
  base::TimePoint deadline = clock_.now() + kApplyTimeout;
  while (true) {
    Head head = ReadHead();
    if (auto applied_version = FindAppliedVersion(change, head.head.number))
      return config::AdminCodec::MakeChangeResponse(config::ChangeResult{},
                                                    *applied_version);
    config::ChangeResult result = Merge(change, head.head.number);
    if (!result.accepted() || result.diff.empty()) {
      if (!result.accepted())
        refused_changes_.Add();
      return config::AdminCodec::MakeChangeResponse(result, head.head.number);
    }
    auto body = std::make_shared<config::ConfigBody>();
    body->version.number = head.head.number + 1;
    body->version.author = change.author;
    body->version.time = config::UtcTimestamp();
    body->version.reason = change.reason;
    body->version.token = change.token;
    body->version.diff = result.diff;
    body->version.body_hash = result.set.BodyHash();
    body->set = result.set;
    std::string body_key = config::BodyKey(body->version.number);
    platform::Transaction transaction;
    transaction.token = change.token;
    transaction.conditions = {{std::string(config::kHeadKey), head.row_version},
                              {body_key, platform::kAbsent}};
    transaction.writes = {
        {std::string(config::kHeadKey),
         config::EncodeHead(
             {body->version.number, body->version.body_hash, change.token})},
        {body_key, config::EncodeBody(*body)}};
    auto outcome = commit_.Run(transaction, deadline, body_key);
    if (outcome.outcome == platform::CommitOutcome::kApplied) {
      applied_changes_.Add();
      Publish(body);
      return config::AdminCodec::MakeChangeResponse(result,
                                                    body->version.number);
    }
    if (outcome.outcome == platform::CommitOutcome::kConflict)
      continue;
    base::ErrorInfo info = outcome.last_error.value_or(base::ErrorInfo{});
    info.code = base::ErrorCode::kUnavailable;
    info.step = base::Step::kConfigure;
    info.ran = outcome.outcome == platform::CommitOutcome::kNotRun
                   ? base::ExecutionStatus::kNotRun
                   : base::ExecutionStatus::kUnknown;
    throw base::Error(std::move(info));
  }
}

// Number of the version that this change created, if it was already applied.
std::optional<std::int64_t> ConfigService::FindAppliedVersion(
    const config::ChangeSet& change,
    std::int64_t current) {
  for (std::int64_t number = change.base_version + 1; number <= current;
       ++number) {
    if (ReadBody(number)->version.token == change.token)
      return number;
  }
  return std::nullopt;
}

std::vector<config::ConfigVersion> ConfigService::History() {
  std::int64_t current = ReadHead().head.number;
  std::int64_t first =
      std::max<std::int64_t>(1, current - kMaxHistoryVersions + 1);
  std::vector<config::ConfigVersion> versions;
  for (std::int64_t number = first; number <= current; ++number)
    versions.push_back(ReadBody(number)->version);
  return versions;
}

config::ConfigBody ConfigService::Version(std::int64_t number) {
  return *ReadBody(number);
}

}  // namespace vanillalever::entry
