#ifndef VANILLALEVER_FAKES_FAKE_ENGINE_H_
#define VANILLALEVER_FAKES_FAKE_ENGINE_H_

#include <utility>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "batch_model.h"
#include "http_exchange.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::fakes {

// Settings of a fake engine that are fixed while it runs.
struct EngineSettings {
  BatchSettings batch;
  // Whether control commands with a stale fencing token are refused.
  bool check_fencing = true;
  // Delay of the load that GET /load reports.
  base::milliseconds load_lag{1000};
  std::uint64_t seed = 1;
};

// Faults injected into a fake engine, set by POST /control/test.
struct EngineFaults {
  // Factor on all rates.
  double speed = 1;
  // No request makes progress.
  bool hang = false;
  // Share of requests that fail with status 500 before they run.
  double fail_rate = 0;
  // Aborts the process when a prompt that starts to run contains this text;
  // empty for never.
  std::string crash_on;
};

// Test double of a model engine with the chat-completions interface.
//
// POST /v1/chat/completions takes, besides the usual fields, `cache_key`
// (prefix cache entry), `priority` (higher first), `output_tokens` (tokens that
// the model would generate without a limit) and `ref` (recorded in the ledger).
// The first token of a response is ResponseMarker() of the last message, so
// that a caller can check that a response belongs to its request.
//
// POST /control/release {cache_key}, /control/load {model, adapter, version}
// and /control/role {role} also take {scope, fencing_token}; the highest token
// is kept per scope. GET /load returns the delayed load, GET /ledger the
// requests that were processed.
class FakeEngine {
 public:
  explicit FakeEngine(EngineSettings settings);
  ~FakeEngine();

  void Handle(HttpExchange& exchange);

 private:
  using Json = nlohmann::json;

  // Load at one time; reported after load_lag.
  struct LoadSample {
    base::TimePoint time;
    Json load;
  };

  // Thread function: advances the model in real time until destruction.
  void Run();
  void SampleLoad(base::TimePoint now);

  void Complete(HttpExchange& exchange);
  // Waits until the job has generated all tokens, and streams them if `stream`
  // is set. Returns false if the client disconnected.
  bool WaitForCompletion(HttpExchange& exchange,
                         BatchJob& job,
                         const Json& request,
                         bool stream);
  void HandleControl(HttpExchange& exchange, const std::string& command);
  void SetFaults(HttpExchange& exchange);
  // Returns false for a stale fencing token if check_fencing is set.
  bool CheckFencingToken(const Json& command);
  // Removes the job from the model and writes its ledger entry.
  void RecordRequest(const std::shared_ptr<BatchJob>& job,
                     const Json& request,
                     const std::string& state);
  Json DelayedLoad();
  Json Ledger();

  const EngineSettings settings_;
  std::mutex mutex_;
  BatchModel model_;
  EngineFaults faults_;
  base::Random random_;
  std::deque<LoadSample> samples_;
  // Finished and cancelled requests in order of completion.
  Json requests_ = Json::array();
  // Sums over all requests, including failed ones, in tokens or requests.
  std::map<std::string, std::int64_t> totals_;
  // Highest fencing token by scope.
  std::map<std::string, std::uint64_t> highest_fencing_tokens_;
  std::string role_ = "mixed";
  // Loaded models, adapters and versions as "model/adapter@version".
  std::vector<std::string> loaded_;
  bool stopping_ = false;
  std::thread thread_;
};

// First token of the response to a conversation that ends with this message.
std::string ResponseMarker(const std::string& last_message);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_ENGINE_H_
