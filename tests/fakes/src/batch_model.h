#ifndef VANILLALEVER_FAKES_BATCH_MODEL_H_
#define VANILLALEVER_FAKES_BATCH_MODEL_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "prefix_cache.h"

namespace vanillalever::fakes {

// Capacity of the simulated engine. Rates are in tokens per second.
struct BatchSettings {
  // Shared by all running requests in order of admission.
  double prefill_rate = 8000;
  // Maximum per request.
  double decode_rate = 60;
  // Maximum of the whole batch.
  double total_decode_rate = 1500;
  // Maximum number of running requests; further ones are queued.
  std::size_t max_running = 32;
  // Capacity of the prefix cache, in tokens.
  std::int64_t cache_tokens = 400000;
};

// A request in the model.
struct BatchJob {
  // Requests with a higher value start first.
  int priority = 0;
  std::string cache_key;
  std::string prompt;
  // Number of tokens to generate.
  std::int64_t output_tokens = 0;
  // Prompt tokens found in the prefix cache; set when the request starts.
  std::int64_t cached_tokens = 0;
  // Tokens still to prefill.
  double prefill_left = 0;
  // Tokens generated so far.
  double generated = 0;
  bool running = false;
  // Notified when tokens were generated.
  std::condition_variable progress;

  std::int64_t emitted() const;
  bool finished() const { return emitted() >= output_tokens; }
};

// Continuous batching in time steps: admission by priority and arrival, chunked
// prefill, decode whose rate falls with the batch size. Not thread-safe.
class BatchModel {
 public:
  explicit BatchModel(const BatchSettings& settings)
      : settings_(settings), cache_(settings.cache_tokens) {}

  void Submit(std::shared_ptr<BatchJob> job);
  // Removes a finished or cancelled job.
  void Remove(const std::shared_ptr<BatchJob>& job);

  // Advances by `elapsed` seconds at `speed` times the normal rates.
  void Step(double elapsed, double speed);

  PrefixCache& cache() { return cache_; }
  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return queue_.size(); }
  // Tokens still to prefill and to generate, of all jobs.
  std::int64_t backlog_tokens() const;

 private:
  using Jobs = std::vector<std::shared_ptr<BatchJob>>;

  void Admit();

  BatchSettings settings_;
  PrefixCache cache_;
  // In order of priority, then arrival.
  Jobs queue_;
  // In order of admission.
  Jobs running_;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_BATCH_MODEL_H_
