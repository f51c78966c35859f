#include "fake_service.h"

#include <chrono>
#include <cstdlib>
#include <thread>

#include "ledger_time.h"
#include "vanillalever/base/hash.h"

namespace vanillalever::fakes {
namespace {

// Interval at which a blocked call checks whether the hang has ended.
constexpr base::milliseconds kHangPollInterval{5};

void AbortIfContains(const std::string& text, const std::string& body) {
  if (!text.empty() && body.find(text) != std::string::npos)
    std::abort();
}

// The "ref" member of the body, or a hash of the body if there is none.
std::string RequestRef(const std::string& body) {
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
  std::ifstream previous(settings_.ledger_file);
  for (std::string line; std::getline(previous, line);)
    executions_.push_back(Json::parse(line));
  ledger_stream_.open(settings_.ledger_file, std::ios::app);
}

void FakeService::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/control/test")
    return SetFaults(exchange);
  if (request.method == "POST")
    return Execute(exchange);
  std::lock_guard lock(mutex_);
  if (request.path == "/ledger")
    return exchange.Respond(200, Json{{"executions", executions_}});
  if (request.path == "/load")
    return exchange.Respond(200, Json{{"running", in_progress_}});
  exchange.RespondError(404, "no route " + request.path);
}

void FakeService::Execute(HttpExchange& exchange) {
  {
    std::lock_guard lock(mutex_);
    ++in_progress_;
  }
  ApplyDelays(exchange);
  ServiceFaults faults = this->faults();
  AbortIfContains(faults.crash_before, exchange.request().body);
  std::string key = exchange.request().header("idempotency-key");
  Json response = settings_.honour_keys ? FindResponse(key) : Json();
  bool fail_before = InjectFault(faults.fail_before_rate);
  if (response.is_null() && !fail_before)
    response = RecordExecution(exchange.request());
  AbortIfContains(faults.crash_after, exchange.request().body);
  {
    std::lock_guard lock(mutex_);
    --in_progress_;
  }
  if (fail_before)
    exchange.RespondError(500, "injected failure before execution");
  else if (InjectFault(faults.fail_after_rate))
    exchange.RespondError(500, "injected failure after execution");
  else if (InjectFault(faults.drop_after_rate))
    exchange.DropConnection();
  else
    exchange.Respond(200, response);
}

void FakeService::ApplyDelays(const HttpExchange& exchange) {
  if (base::milliseconds delay = faults().delay; delay.count() > 0)
    std::this_thread::sleep_for(delay);
  while (faults().hang && !exchange.stopping())
    std::this_thread::sleep_for(kHangPollInterval);
}

nlohmann::json FakeService::RecordExecution(const HttpRequest& request) {
  std::lock_guard lock(mutex_);
  std::string key = request.header("idempotency-key");
  Json entry = {{"sequence", executions_.size() + 1},
                {"operation", request.path.substr(1)},
                {"key", key},
                {"ref", RequestRef(request.body)},
                {"at_us", LedgerTimeUs()}};
  executions_.push_back(entry);
  if (ledger_stream_.is_open())
    ledger_stream_ << entry.dump() << std::endl;
  responses_by_key_.emplace(key, entry);
  return entry;
}

nlohmann::json FakeService::FindResponse(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto found = responses_by_key_.find(key);
  return key.empty() || found == responses_by_key_.end() ? Json()
                                                         : found->second;
}

void FakeService::SetFaults(HttpExchange& exchange) {
  Json body = Json::parse(exchange.request().body);
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
  exchange.Respond(200, Json::object());
}

ServiceFaults FakeService::faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

bool FakeService::InjectFault(double rate) {
  std::lock_guard lock(mutex_);
  return random_.Uniform() < rate;
}

}  // namespace vanillalever::fakes
