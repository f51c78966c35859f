#include "fake_platform.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "vanillalever/base/error.h"
#include "vanillalever/platform/store_json.h"

namespace vanillalever::fakes {
namespace {

constexpr char kTablePrefix[] = "/table/";
constexpr char kObjectPrefix[] = "/objects/";

base::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string StripPrefix(const std::string& path, std::string_view prefix) {
  return path.substr(prefix.size());
}

}  // namespace

FakePlatform::FakePlatform(std::uint64_t seed)
    : random_(seed), started_at_(Now()) {
  snapshots_.push_back({base::TimePoint::min(), {}});
}

void FakePlatform::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/control")
    return SetFaults(exchange);
  if (request.path == "/stats")
    return ReportStats(exchange);
  if (request.path == "/instances" && request.method == "POST")
    return RegisterInstance(exchange);
  PlatformFaults faults = this->faults();
  if (faults.latency.count() > 0)
    std::this_thread::sleep_for(faults.latency);
  if (faults.down) {
    CountRequest("refused");
    return exchange.DropConnection();
  }
  if (InjectFault(faults.fail_rate)) {
    CountRequest("failed");
    return exchange.RespondError(503, "injected failure");
  }
  try {
    ServeRequest(exchange);
  } catch (const base::Error& error) {
    exchange.RespondError(400, error.info().message);
  }
}

void FakePlatform::ServeRequest(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  bool writes = request.method != "GET";
  bool lose_response = writes && InjectFault(faults().lose_response_rate);
  CountRequest(writes ? "writes" : "reads");
  if (lose_response)
    CountRequest("lost_answers");
  if (request.path == "/transaction" && writes)
    return RunTransaction(exchange, lose_response);
  if (request.path == "/instances")
    return ListInstances(exchange);
  if (request.path == "/table" || request.path.starts_with(kTablePrefix))
    return ReadTable(exchange);
  if (request.path.starts_with(kObjectPrefix))
    return ServeObject(exchange, lose_response);
  exchange.RespondError(404, "no route " + request.path);
}

void FakePlatform::ReadTable(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/table") {
    Json rows = Json::array();
    for (const platform::Row& row : store_.Scan(request.query.at("prefix")))
      rows.push_back(ToJson(row));
    return exchange.Respond(200, Json{{"rows", rows}});
  }
  auto row = store_.Read(StripPrefix(request.path, kTablePrefix));
  if (!row)
    return exchange.RespondError(404, "no such row");
  exchange.Respond(200, ToJson(*row));
}

void FakePlatform::RunTransaction(HttpExchange& exchange, bool lose_response) {
  auto result = store_.Commit(
      platform::ParseTransaction(Json::parse(exchange.request().body)));
  if (!result.applied)
    CountRequest("conflicts");
  if (lose_response)
    return exchange.DropConnection();
  if (result.applied)
    return exchange.Respond(200, Json{{"version", result.version}});
  exchange.Respond(409, Json{{"conflict_key", result.conflict_key}});
}

void FakePlatform::ServeObject(HttpExchange& exchange, bool lose_response) {
  const HttpRequest& request = exchange.request();
  std::string name = StripPrefix(request.path, kObjectPrefix);
  if (request.method == "GET") {
    auto data = store_.FetchObject(name);
    if (!data)
      return exchange.RespondError(404, "no such object");
    return exchange.Respond(200, *data, "application/octet-stream");
  }
  if (request.method == "PUT")
    store_.PutObject(name, request.body);
  else
    store_.DeleteObject(name);
  if (lose_response)
    return exchange.DropConnection();
  exchange.Respond(200, Json::object());
}

void FakePlatform::ListInstances(HttpExchange& exchange) {
  std::lock_guard lock(mutex_);
  base::TimePoint as_of =
      faults_.freeze_instances ? frozen_at_ : Now() - faults_.stale_instances;
  auto snapshot = std::find_if(snapshots_.rbegin(), snapshots_.rend(),
                               [as_of](const InstanceListSnapshot& candidate) {
                                 return candidate.since <= as_of;
                               });
  Json records = Json::array();
  for (const platform::InstanceRecord& record : snapshot->records)
    records.push_back(ToJson(record));
  exchange.Respond(200, Json{{"instances", records}});
}

void FakePlatform::RegisterInstance(HttpExchange& exchange) {
  Json body = Json::parse(exchange.request().body);
  std::lock_guard lock(mutex_);
  if (body.at("state") == "gone")
    store_.RemoveInstance(body.at("address"));
  else
    store_.SetInstance(platform::ParseInstance(body));
  snapshots_.push_back({Now(), store_.Instances()});
  exchange.Respond(200, Json::object());
}

void FakePlatform::SetFaults(HttpExchange& exchange) {
  Json body = Json::parse(exchange.request().body);
  std::lock_guard lock(mutex_);
  bool was_frozen = faults_.freeze_instances;
  faults_.latency =
      base::milliseconds(body.value("latency_ms", faults_.latency.count()));
  faults_.fail_rate = body.value("fail_rate", faults_.fail_rate);
  faults_.down = body.value("down", faults_.down);
  faults_.lose_response_rate =
      body.value("lose_answer_rate", faults_.lose_response_rate);
  faults_.stale_instances = base::milliseconds(
      body.value("stale_instances_ms", faults_.stale_instances.count()));
  faults_.freeze_instances =
      body.value("freeze_instances", faults_.freeze_instances);
  if (faults_.freeze_instances && !was_frozen)
    frozen_at_ = Now();
  exchange.Respond(200, Json::object());
}

void FakePlatform::ReportStats(HttpExchange& exchange) {
  std::lock_guard lock(mutex_);
  double elapsed = std::chrono::duration<double>(Now() - started_at_).count();
  Json stats = {{"elapsed_s", elapsed}};
  for (const auto& [kind, counter] : counters_)
    stats[kind] = {{"total", counter.total},
                   {"peak_per_second",
                    std::max(counter.peak_per_second, counter.this_second)}};
  exchange.Respond(200, stats);
}

PlatformFaults FakePlatform::faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

bool FakePlatform::InjectFault(double rate) {
  std::lock_guard lock(mutex_);
  return random_.Uniform() < rate;
}

void FakePlatform::CountRequest(const std::string& kind) {
  std::lock_guard lock(mutex_);
  RequestCounter& counter = counters_[kind];
  std::int64_t second =
      std::chrono::duration_cast<base::seconds>(Now() - started_at_).count();
  if (second != counter.second) {
    counter.peak_per_second =
        std::max(counter.peak_per_second, counter.this_second);
    counter.this_second = 0;
    counter.second = second;
  }
  ++counter.total;
  ++counter.this_second;
}

}  // namespace vanillalever::fakes
