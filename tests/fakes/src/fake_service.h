#ifndef VANILLALEVER_FAKES_FAKE_SERVICE_H_
#define VANILLALEVER_FAKES_FAKE_SERVICE_H_

#include <utility>

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_exchange.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::fakes {

// Settings of a fake service that are fixed while it runs.
struct ServiceSettings {
  // Whether a repeated Idempotency-Key returns the first response instead of
  // executing again.
  bool honour_keys = false;
  // File to which executions are appended, so that they survive a crash; empty
  // for none.
  std::string ledger_file;
  std::uint64_t seed = 1;
};

// Faults injected into a fake service, set by POST /control/test. Rates are
// probabilities per call.
struct ServiceFaults {
  // Delay before each execution.
  base::milliseconds delay{0};
  // Calls block before they execute and execute when this is cleared, even if
  // the caller has disconnected.
  bool hang = false;
  // Status 500 without executing.
  double fail_before_rate = 0;
  // Status 500 after executing.
  double fail_after_rate = 0;
  // Connection closed after executing, without a response.
  double drop_after_rate = 0;
  // Aborts the process when a body contains the text; empty for never.
  std::string crash_before;
  std::string crash_after;
};

// Test double of a service whose operations are not idempotent. Each POST
// /<operation> is executed and appended to the ledger, which GET /ledger
// returns; GET /load returns the number of calls in progress.
class FakeService {
 public:
  explicit FakeService(ServiceSettings settings);

  void Handle(HttpExchange& exchange);

 private:
  using Json = nlohmann::json;

  void Execute(HttpExchange& exchange);
  // Sleeps for the delay and then until a hang ends.
  void ApplyDelays(const HttpExchange& exchange);
  // Appends the call to the ledger and returns the response.
  Json RecordExecution(const HttpRequest& request);
  // Response to the first call with this key; null if there was none.
  Json FindResponse(const std::string& key);
  void SetFaults(HttpExchange& exchange);
  ServiceFaults faults();
  bool InjectFault(double rate);

  const ServiceSettings settings_;
  std::mutex mutex_;
  ServiceFaults faults_;
  base::Random random_;
  std::vector<Json> executions_;
  // First response by idempotency key.
  std::map<std::string, Json> responses_by_key_;
  std::size_t in_progress_ = 0;
  std::ofstream ledger_stream_;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_SERVICE_H_
