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

#include "call.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::fakes {

// Properties of a fake service that do not change while it runs.
struct ServiceSettings {
  // Whether a repeated Idempotency-Key returns the first answer instead of
  // executing again.
  bool honour_keys = false;
  // File to which executions are appended, so that they survive a crash; empty
  // for none.
  std::string ledger_file;
  std::uint64_t seed = 1;
};

// Faults of a fake service, set by POST /control/test. Rates are shares of
// calls between 0 and 1.
struct ServiceFaults {
  // Time before each execution.
  base::milliseconds delay{0};
  // Calls wait before they execute, and execute when this is cleared, also for
  // callers that have gone.
  bool hang = false;
  // Status 500 without executing.
  double fail_before_rate = 0;
  // Status 500 after executing.
  double fail_after_rate = 0;
  // Connection closed after executing, without an answer.
  double drop_after_rate = 0;
  // Aborts the process when a body contains the text; empty for never.
  std::string crash_before;
  std::string crash_after;
};

// Plain service whose operations may not be repeated. POST /<operation>
// executes once per call and appends to the ledger, which GET /ledger returns;
// GET /load reports calls in progress.
class FakeService {
 public:
  explicit FakeService(ServiceSettings settings);

  void Handle(Call& call);

 private:
  using Json = nlohmann::json;

  void Execute(Call& call);
  // Waits for the delay and the end of a hang.
  void Wait(const Call& call);
  // Appends to the ledger and returns the answer.
  Json Record(const CallRequest& request);
  // Answer to an earlier call with the same key, or null.
  Json EarlierAnswer(const std::string& key);
  void SetFaults(Call& call);
  ServiceFaults faults();
  bool Draw(double rate);

  const ServiceSettings settings_;
  std::mutex mutex_;
  ServiceFaults faults_;
  base::Random random_;
  std::vector<Json> executions_;
  // First answer by idempotency key.
  std::map<std::string, Json> answers_;
  std::size_t in_progress_ = 0;
  std::ofstream file_;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_SERVICE_H_
