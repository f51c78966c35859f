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

// Rates and sizes of a simulated engine.
struct EngineSettings {
  // Prefill rate without concurrent decoding, in tokens per second.
  double prefill_rate = 8000;
  // Duration of one decode step: fixed part, and part per call in the batch.
  double base_step_seconds = 0.008;
  double step_seconds_per_call = 0.0006;
  // Share of the engine's time spent on prefill while other calls decode.
  double prefill_share = 0.5;
  // Maximum number of running calls.
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
  // Prefill order; lower values first.
  int priority = 0;
};

// Result of a completed call.
struct EngineResult {
  std::uint64_t id = 0;
  base::TimePoint first_token{};
  // Tokens of the program in the engine's cache after the call.
  double cached_tokens = 0;
};

// Time at which a call produced its first output token.
struct FirstToken {
  std::uint64_t id = 0;
  base::TimePoint time{};
};

// Change of a program's entry in the engine's prefix cache.
struct CacheChange {
  scheduling::ProgramKey program = 0;
  double tokens = 0;
  base::TimePoint time{};
};

// Fluid model of an engine with continuous batching and a prefix cache of
// limited size: all rates are constant between two events.
class EngineModel {
 public:
  explicit EngineModel(EngineSettings settings) : settings_(settings) {}

  // Starts a call; returns the number of prompt tokens to prefill.
  double Start(const EngineCall& call, base::TimePoint now);

  // Cancels a call; its computed KV stays cached. Returns false if the call is
  // not running.
  bool Cancel(std::uint64_t id, base::TimePoint now);

  // Advances the model to `now`.
  void Advance(base::TimePoint now);

  // Time at which the next call finishes its prefill or its output; empty while
  // idle.
  std::optional<base::TimePoint> NextEvent() const;

  // Completed calls, first tokens and cache changes since the last call of the
  // respective function.
  std::vector<EngineResult> TakeResults();
  std::vector<FirstToken> TakeFirstTokens();
  std::vector<CacheChange> TakeCacheChanges();

  // Sets the factor on all rates.
  void SetSpeed(double speed, base::TimePoint now);

  // Frees a program's cached KV unless running calls use it.
  void Release(scheduling::ProgramKey program, base::TimePoint now);

  // Discards all calls and all cached KV; returns the ids of the calls.
  std::vector<std::uint64_t> Crash(base::TimePoint now);

  // Number of the program's tokens in the cache, pinned or not.
  double CachedTokens(scheduling::ProgramKey program) const;

  // Programs in the cache with their number of tokens.
  std::vector<std::pair<scheduling::ProgramKey, double>> cached_programs()
      const;

  // Share of the KV memory in use, in [0, 1] unless running calls exceed it.
  double kv_cache_usage() const {
    return cached_total_ / settings_.kv_capacity;
  }

  // Whether there is memory for another call.
  bool HasFreeMemory() const;

  std::size_t running() const { return calls_.size(); }
  std::size_t prefilling() const;

  // Work done since the start (work tokens), and time with running calls.
  double work_done() const { return work_done_; }
  base::Duration busy() const { return busy_; }

  // Prompt tokens left to prefill, and output tokens produced, of one call.
  struct Progress {
    std::uint64_t id = 0;
    double prefill_left = 0;
    double produced = 0;
  };
  std::vector<Progress> progress() const;

  const EngineSettings& settings() const { return settings_; }

 private:
  struct RunningCall {
    EngineCall call;
    double prefill_left = 0;
    double decode_left = 0;
    base::TimePoint first_token{};
  };

  struct CacheEntry {
    double tokens = 0;
    // Running calls that use the entry; a pinned entry is not evicted.
    int pins = 0;
    std::list<scheduling::ProgramKey>::iterator recency;
  };

  // Current rates, in tokens per second.
  struct Rates {
    // Index of the call in prefill; calls_.size() if none.
    std::size_t prefill_call = 0;
    double prefill = 0;
    double decode = 0;
  };

  Rates CurrentRates() const;
  void FinishCall(std::size_t position);
  void Unpin(const EngineCall& call, double tokens);
  void Evict();

  EngineSettings settings_;
  double speed_ = 1;
  base::TimePoint now_{};
  std::vector<RunningCall> calls_;
  std::unordered_map<scheduling::ProgramKey, CacheEntry> cache_;
  // Programs by last use, least recent first.
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
