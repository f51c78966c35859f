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
#include "call.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::fakes {

// Properties of a fake engine that do not change while it runs.
struct EngineSettings {
  BatchSettings batch;
  // Whether control commands with a stale fencing token are refused.
  bool check_fencing = true;
  // Age of the load that GET /load reports.
  base::milliseconds load_lag{1000};
  std::uint64_t seed = 1;
};

// Faults of a fake engine, set by POST /control/test.
struct EngineFaults {
  // Factor of all rates.
  double speed = 1;
  // No request makes progress.
  bool hang = false;
  // Share of requests that fail with status 500 before they run.
  double fail_rate = 0;
  // Aborts the process when a prompt that starts to run contains this text;
  // empty for never.
  std::string crash_on;
};

// Model engine with the chat-completions interface.
//
// POST /v1/chat/completions takes, besides the usual fields, `cache_key`
// (prefix cache entry), `priority` (higher first), `output_tokens` (tokens that
// the model would generate without a limit) and `ref` (kept in the ledger).
// The first token of an answer is AnswerMark() of the last message, so that a
// caller can tell whether the answer is its own.
// POST /control/release {cache_key}, /control/load {model, adapter, version}
// and /control/role {role} take {scope, fencing_token}; the highest token is
// kept per scope. GET /load and GET /ledger report.
class FakeEngine {
 public:
  explicit FakeEngine(EngineSettings settings);
  ~FakeEngine();

  void Handle(Call& call);

 private:
  using Json = nlohmann::json;

  // Load at one time, as reported later.
  struct LoadSample {
    base::TimePoint time;
    Json load;
  };

  // Advances the model in real time until the destructor runs.
  void Run();
  void Sample(base::TimePoint now);

  void Complete(Call& call);
  // Waits for the job's end and streams its tokens if `stream` is set. Returns
  // false if the client went away.
  bool Follow(Call& call, BatchJob& job, const Json& request, bool stream);
  void Control(Call& call, const std::string& command);
  void SetFaults(Call& call);
  // Refuses a stale fencing token if the settings say so.
  bool Fenced(const Json& command);
  // Removes the job from the model and writes its ledger entry.
  void Record(const std::shared_ptr<BatchJob>& job,
              const Json& request,
              const std::string& state);
  Json LaggingLoad();
  Json Ledger();

  const EngineSettings settings_;
  std::mutex mutex_;
  BatchModel model_;
  EngineFaults faults_;
  base::Random random_;
  std::deque<LoadSample> samples_;
  // Executed, cancelled and failed requests in order of their end.
  Json requests_ = Json::array();
  // Sums over requests_, in tokens or requests.
  std::map<std::string, std::int64_t> totals_;
  // Highest fencing token by scope.
  std::map<std::string, std::uint64_t> fences_;
  std::string role_ = "mixed";
  // Loaded models, adapters and versions as "model/adapter@version".
  std::vector<std::string> loaded_;
  bool stopping_ = false;
  std::thread thread_;
};

// First token of the answer to a conversation that ends with this message.
std::string AnswerMark(const std::string& last_message);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_ENGINE_H_
