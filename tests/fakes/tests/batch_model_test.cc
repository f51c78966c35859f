#include "batch_model.h"

#include <catch2/catch.hpp>

namespace vanillalever::fakes {
namespace {

std::string Text(std::size_t tokens, char fill) {
  return std::string(4 * tokens, fill);
}

std::shared_ptr<BatchJob> MakeJob(std::int64_t prompt_tokens,
                                  std::int64_t output_tokens,
                                  const std::string& cache_key = "",
                                  int priority = 0) {
  auto job = std::make_shared<BatchJob>();
  job->prompt = Text(static_cast<std::size_t>(prompt_tokens), 'p');
  job->output_tokens = output_tokens;
  job->cache_key = cache_key;
  job->priority = priority;
  return job;
}

BatchSettings SmallSettings() {
  return {.prefill_rate = 1000,
          .decode_rate = 10,
          .total_decode_rate = 15,
          .max_running = 2,
          .cache_tokens = 100};
}

// Guards against a model in which prefill or decode takes no time.
TEST_CASE("prefill precedes decode and both take time") {
  BatchModel model(SmallSettings());
  auto job = MakeJob(500, 10);
  model.Submit(job);
  CHECK(model.backlog_tokens() == 510);
  model.Step(0.25, 1);
  CHECK(job->prefill_left == Approx(250));
  CHECK(job->emitted() == 0);
  // At half the speed a step takes twice the time.
  model.Step(0.5, 0.5);
  CHECK(job->emitted() == 2);
  model.Step(1, 1);
  CHECK(job->finished());
}

// Guards against batches of unlimited size or rate, and against ignored
// priorities.
TEST_CASE("the batch is limited, shares its rate and admits by priority") {
  BatchModel model(SmallSettings());
  auto low = MakeJob(1, 100);
  auto high = MakeJob(1, 100, "", 1);
  auto first = MakeJob(1, 100);
  model.Submit(first);
  model.Submit(low);
  model.Submit(high);
  model.Step(1, 1);
  CHECK(model.queued() == 1);
  CHECK(first->emitted() == 7);
  CHECK(high->emitted() == 7);
  CHECK_FALSE(low->running);
  model.Remove(high);
  model.Step(1, 1);
  CHECK(low->running);
}

// Guards against an unlimited cache, and against hits on different texts.
TEST_CASE("the prefix cache saves prefill within its capacity") {
  BatchModel model(SmallSettings());
  model.cache().Store("a", Text(40, 'p'));
  model.cache().Store("b", Text(40, 'x'));
  auto hit = MakeJob(50, 1, "a");
  auto miss = MakeJob(50, 1, "b");
  model.Submit(hit);
  model.Submit(miss);
  model.Step(0.001, 1);
  CHECK(hit->cached_tokens == 40);
  CHECK(miss->cached_tokens == 0);
  model.cache().Store("c", Text(30, 'c'));
  CHECK(model.cache().tokens_by_key() ==
        std::map<std::string, std::int64_t>{{"b", 40}, {"c", 30}});
  CHECK(model.cache().Release("c"));
  CHECK_FALSE(model.cache().Release("c"));
  CHECK(model.cache().total_tokens() == 40);
}

}  // namespace
}  // namespace vanillalever::fakes
