#include "fake_service.h"

#include <chrono>
#include <cstdlib>
#include <thread>

#include "ledger_time.h"
#include "vanillalever/base/hash.h"

namespace vanillalever::fakes {
namespace {

// How often a hanging call checks whether it may go on.
constexpr base::milliseconds kHangCheck{5};

void CrashOn(const std::string& marker, const std::string& body) {
  if (!marker.empty() && body.find(marker) != std::string::npos)
    std::abort();
}

// The body's "ref" member, or a hash of the body.
std::string RefOf(const std::string& body) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  bool has_ref =
      parsed.is_object() && parsed.contains("ref") && parsed["ref"].is_string();
  return has_ref ? parsed["ref"].get<std::string>() : base::Hash128Hex(body);
}

}  // namespace

FakeService::FakeService(ServiceSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  if (settings_.ledger_file.empty())
    return;
  std::ifstream earlier(settings_.ledger_file);
  for (std::string line; std::getline(earlier, line);)
    executions_.push_back(Json::parse(line));
  file_.open(settings_.ledger_file, std::ios::app);
}

void FakeService::Handle(Call& call) {
  const CallRequest& request = call.request();
  if (request.path == "/control/test")
    return SetFaults(call);
  if (request.method == "POST")
    return Execute(call);
  std::lock_guard lock(mutex_);
  if (request.path == "/ledger")
    return call.Respond(200, Json{{"executions", executions_}});
  if (request.path == "/load")
    return call.Respond(200, Json{{"running", in_progress_}});
  call.Fail(404, "no route " + request.path);
}

void FakeService::Execute(Call& call) {
  {
    std::lock_guard lock(mutex_);
    ++in_progress_;
  }
  Wait(call);
  ServiceFaults faults = this->faults();
  CrashOn(faults.crash_before, call.request().body);
  std::string key = call.request().header("idempotency-key");
  Json answer = settings_.honour_keys ? EarlierAnswer(key) : Json();
  bool fail_before = Draw(faults.fail_before_rate);
  if (answer.is_null() && !fail_before)
    answer = Record(call.request());
  CrashOn(faults.crash_after, call.request().body);
  {
    std::lock_guard lock(mutex_);
    --in_progress_;
  }
  if (fail_before)
    call.Fail(500, "injected failure before execution");
  else if (Draw(faults.fail_after_rate))
    call.Fail(500, "injected failure after execution");
  else if (Draw(faults.drop_after_rate))
    call.Drop();
  else
    call.Respond(200, answer);
}

void FakeService::Wait(const Call& call) {
  if (base::milliseconds delay = faults().delay; delay.count() > 0)
    std::this_thread::sleep_for(delay);
  while (faults().hang && !call.stopping())
    std::this_thread::sleep_for(kHangCheck);
}

nlohmann::json FakeService::Record(const CallRequest& request) {
  std::lock_guard lock(mutex_);
  std::string key = request.header("idempotency-key");
  Json entry = {{"sequence", executions_.size() + 1},
                {"operation", request.path.substr(1)},
                {"key", key},
                {"ref", RefOf(request.body)},
                {"at_us", LedgerTime()}};
  executions_.push_back(entry);
  if (file_.is_open())
    file_ << entry.dump() << std::endl;
  answers_.emplace(key, entry);
  return entry;
}

nlohmann::json FakeService::EarlierAnswer(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto found = answers_.find(key);
  return key.empty() || found == answers_.end() ? Json() : found->second;
}

void FakeService::SetFaults(Call& call) {
  Json body = Json::parse(call.request().body);
  std::lock_guard lock(mutex_);
  faults_.delay =
      base::milliseconds(body.value("delay_ms", faults_.delay.count()));
  faults_.hang = body.value("hang", faults_.hang);
  faults_.fail_before_rate =
      body.value("fail_before_rate", faults_.fail_before_rate);
  faults_.fail_after_rate =
      body.value("fail_after_rate", faults_.fail_after_rate);
  faults_.drop_after_rate =
      body.value("drop_after_rate", faults_.drop_after_rate);
  faults_.crash_before = body.value("crash_before", faults_.crash_before);
  faults_.crash_after = body.value("crash_after", faults_.crash_after);
  call.Respond(200, Json::object());
}

ServiceFaults FakeService::faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

bool FakeService::Draw(double rate) {
  std::lock_guard lock(mutex_);
  return random_.Uniform() < rate;
}

}  // namespace vanillalever::fakes
