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

std::string Tail(const std::string& path, std::string_view prefix) {
  return path.substr(prefix.size());
}

}  // namespace

FakePlatform::FakePlatform(std::uint64_t seed)
    : random_(seed), started_at_(Now()) {
  listings_.push_back({base::TimePoint::min(), {}});
}

void FakePlatform::Handle(Call& call) {
  const CallRequest& request = call.request();
  if (request.path == "/control")
    return SetFaults(call);
  if (request.path == "/stats")
    return ReportStats(call);
  if (request.path == "/instances" && request.method == "POST")
    return RegisterInstance(call);
  PlatformFaults faults = this->faults();
  if (faults.latency.count() > 0)
    std::this_thread::sleep_for(faults.latency);
  if (faults.down) {
    Count("refused");
    return call.Drop();
  }
  if (Draw(faults.fail_rate)) {
    Count("failed");
    return call.Fail(503, "injected failure");
  }
  try {
    Serve(call);
  } catch (const base::Error& error) {
    call.Fail(400, error.info().message);
  }
}

void FakePlatform::Serve(Call& call) {
  const CallRequest& request = call.request();
  bool writes = request.method != "GET";
  bool lose_answer = writes && Draw(faults().lose_answer_rate);
  Count(writes ? "writes" : "reads");
  if (lose_answer)
    Count("lost_answers");
  if (request.path == "/transaction" && writes)
    return RunTransaction(call, lose_answer);
  if (request.path == "/instances")
    return ListInstances(call);
  if (request.path == "/table" || request.path.starts_with(kTablePrefix))
    return ReadTable(call);
  if (request.path.starts_with(kObjectPrefix))
    return ServeObject(call, lose_answer);
  call.Fail(404, "no route " + request.path);
}

void FakePlatform::ReadTable(Call& call) {
  const CallRequest& request = call.request();
  if (request.path == "/table") {
    Json rows = Json::array();
    for (const platform::Row& row : store_.Scan(request.query.at("prefix")))
      rows.push_back(ToJson(row));
    return call.Respond(200, Json{{"rows", rows}});
  }
  auto row = store_.Read(Tail(request.path, kTablePrefix));
  if (!row)
    return call.Fail(404, "no such row");
  call.Respond(200, ToJson(*row));
}

void FakePlatform::RunTransaction(Call& call, bool lose_answer) {
  auto result = store_.Commit(
      platform::ParseTransaction(Json::parse(call.request().body)));
  if (!result.applied)
    Count("conflicts");
  if (lose_answer)
    return call.Drop();
  if (result.applied)
    return call.Respond(200, Json{{"version", result.version}});
  call.Respond(409, Json{{"conflict_key", result.conflict_key}});
}

void FakePlatform::ServeObject(Call& call, bool lose_answer) {
  const CallRequest& request = call.request();
  std::string name = Tail(request.path, kObjectPrefix);
  if (request.method == "GET") {
    auto data = store_.FetchObject(name);
    if (!data)
      return call.Fail(404, "no such object");
    return call.Respond(200, *data, "application/octet-stream");
  }
  if (request.method == "PUT")
    store_.PutObject(name, request.body);
  else
    store_.DeleteObject(name);
  if (lose_answer)
    return call.Drop();
  call.Respond(200, Json::object());
}

void FakePlatform::ListInstances(Call& call) {
  std::lock_guard lock(mutex_);
  base::TimePoint seen =
      faults_.freeze_instances ? frozen_at_ : Now() - faults_.stale_instances;
  auto listing = std::find_if(
      listings_.rbegin(), listings_.rend(),
      [seen](const Listing& candidate) { return candidate.since <= seen; });
  Json records = Json::array();
  for (const platform::InstanceRecord& record : listing->records)
    records.push_back(ToJson(record));
  call.Respond(200, Json{{"instances", records}});
}

void FakePlatform::RegisterInstance(Call& call) {
  Json body = Json::parse(call.request().body);
  std::lock_guard lock(mutex_);
  if (body.at("state") == "gone")
    store_.RemoveInstance(body.at("address"));
  else
    store_.SetInstance(platform::ParseInstance(body));
  listings_.push_back({Now(), store_.Instances()});
  call.Respond(200, Json::object());
}

void FakePlatform::SetFaults(Call& call) {
  Json body = Json::parse(call.request().body);
  std::lock_guard lock(mutex_);
  bool was_frozen = faults_.freeze_instances;
  faults_.latency =
      base::milliseconds(body.value("latency_ms", faults_.latency.count()));
  faults_.fail_rate = body.value("fail_rate", faults_.fail_rate);
  faults_.down = body.value("down", faults_.down);
  faults_.lose_answer_rate =
      body.value("lose_answer_rate", faults_.lose_answer_rate);
  faults_.stale_instances = base::milliseconds(
      body.value("stale_instances_ms", faults_.stale_instances.count()));
  faults_.freeze_instances =
      body.value("freeze_instances", faults_.freeze_instances);
  if (faults_.freeze_instances && !was_frozen)
    frozen_at_ = Now();
  call.Respond(200, Json::object());
}

void FakePlatform::ReportStats(Call& call) {
  std::lock_guard lock(mutex_);
  double elapsed = std::chrono::duration<double>(Now() - started_at_).count();
  Json stats = {{"elapsed_s", elapsed}};
  for (const auto& [kind, rate] : rates_)
    stats[kind] = {
        {"total", rate.total},
        {"peak_per_second", std::max(rate.peak_per_second, rate.this_second)}};
  call.Respond(200, stats);
}

PlatformFaults FakePlatform::faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

bool FakePlatform::Draw(double rate) {
  std::lock_guard lock(mutex_);
  return random_.Uniform() < rate;
}

void FakePlatform::Count(const std::string& kind) {
  std::lock_guard lock(mutex_);
  Rate& rate = rates_[kind];
  std::int64_t second =
      std::chrono::duration_cast<base::seconds>(Now() - started_at_).count();
  if (second != rate.second) {
    rate.peak_per_second = std::max(rate.peak_per_second, rate.this_second);
    rate.this_second = 0;
    rate.second = second;
  }
  ++rate.total;
  ++rate.this_second;
}

}  // namespace vanillalever::fakes
