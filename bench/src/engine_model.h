#ifndef VANILLALEVER_BENCH_ENGINE_MODEL_H_
#define VANILLALEVER_BENCH_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/scheduling/candidate.h"

namespace vanillalever::bench {

// Rates and sizes of a model engine.
struct EngineSettings {
  // Prompt tokens computed per second when nothing is generated.
  double prefill_rate = 8000;
  // Time of one generation step: fixed part, and part per call in the batch
  // (seconds).
  double step_base = 0.008;
  double step_per_call = 0.0006;
  // Share of the engine's time for prompts while other calls generate.
  double prefill_share = 0.5;
  // Calls that may run at once.
  std::size_t max_batch = 24;
  // KV memory, in tokens.
  double kv_capacity = 120000;
};

// A call as the engine sees it.
struct EngineCall {
  std::uint64_t id = 0;
  scheduling::ProgramKey program = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
  // Order in which prompts are computed; lower goes first.
  int priority = 0;
};

// What happened to a call that ended.
struct EngineResult {
  std::uint64_t id = 0;
  base::TimePoint first_token{};
  // Tokens of the program in the engine's cache after the call.
  double cached_tokens = 0;
};

// A call has produced its first output token.
struct FirstToken {
  std::uint64_t id = 0;
  base::TimePoint time{};
};

// Change of what the engine's prefix cache holds.
struct CacheChange {
  scheduling::ProgramKey program = 0;
  double tokens = 0;
  base::TimePoint time{};
};

// Fluid model of an engine with continuous batching and a prefix cache in
// limited memory: between two events all rates are constant.
class EngineModel {
 public:
  explicit EngineModel(EngineSettings settings) : settings_(settings) {}

  // Starts a call; returns the prompt tokens that must be computed.
  double Start(const EngineCall& call, base::TimePoint now);

  // Stops a call; false when it does not run. Its KV stays cached.
  bool Cancel(std::uint64_t id, base::TimePoint now);

  // Moves the model forward to `now`.
  void Advance(base::TimePoint now);

  // When the next call ends its prompt or its output; nothing while idle.
  std::optional<base::TimePoint> NextEvent() const;

  // Ended calls, first tokens and cache changes since the last call of these
  // functions.
  std::vector<EngineResult> TakeResults();
  std::vector<FirstToken> TakeFirstTokens();
  std::vector<CacheChange> TakeCacheChanges();

  // Factor on all rates; 0.25 is a server at a quarter of its speed.
  void SetSpeed(double speed, base::TimePoint now);

  // Frees a program's cached KV.
  void Release(scheduling::ProgramKey program, base::TimePoint now);

  // Drops all calls and all cached KV; returns the ids of the calls.
  std::vector<std::uint64_t> Crash(base::TimePoint now);

  // Prompt tokens of the program in the cache, pinned or not.
  double Cached(scheduling::ProgramKey program) const;

  // Programs in the cache, with their tokens.
  std::vector<std::pair<scheduling::ProgramKey, double>> contents() const;

  // Share of the KV memory in use, in [0, 1] unless running calls exceed it.
  double fill() const { return cached_total_ / settings_.kv_capacity; }

  // Whether memory is left for another call.
  bool HasRoom() const;

  std::size_t running() const { return calls_.size(); }
  std::size_t prefilling() const;

  // Work done since the start (work tokens), and time with calls running.
  double work_done() const { return work_done_; }
  base::Duration busy() const { return busy_; }

  // Output tokens that a call has produced, and prompt tokens left.
  struct Progress {
    std::uint64_t id = 0;
    double prefill_left = 0;
    double produced = 0;
  };
  std::vector<Progress> progress() const;

  const EngineSettings& settings() const { return settings_; }

 private:
  struct Running {
    EngineCall call;
    double prefill_left = 0;
    double decode_left = 0;
    base::TimePoint first_token{};
  };

  struct CacheEntry {
    double tokens = 0;
    // Running calls that use the entry; an entry in use is not evicted.
    int pins = 0;
    std::list<scheduling::ProgramKey>::iterator recency;
  };

  // Rates at the present moment, in tokens per second.
  struct Rates {
    // Position of the call whose prompt is being computed; size() if none.
    std::size_t prefill_call = 0;
    double prefill = 0;
    double decode = 0;
  };

  Rates CurrentRates() const;
  void Finish(std::size_t position);
  void Unpin(const EngineCall& call, double tokens);
  void Evict();

  EngineSettings settings_;
  double speed_ = 1;
  base::TimePoint now_{};
  std::vector<Running> calls_;
  std::unordered_map<scheduling::ProgramKey, CacheEntry> cache_;
  // Programs in order of last use, oldest first.
  std::list<scheduling::ProgramKey> recency_;
  double cached_total_ = 0;
  double pinned_total_ = 0;
  double work_done_ = 0;
  base::Duration busy_{0};
  std::vector<EngineResult> results_;
  std::vector<FirstToken> first_tokens_;
  std::vector<CacheChange> changes_;
};

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_ENGINE_MODEL_H_
