#include <algorithm>
#include <array>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/scheduling/estimated_completion_picker.h"
#include "vanillalever/scheduling/load_table.h"
#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {
namespace {

using base::milliseconds;
using base::seconds;

std::vector<Candidate> Pool(std::size_t size) {
  std::vector<Candidate> pool(size);
  for (std::size_t i = 0; i < size; ++i) {
    pool[i].server = static_cast<ServerIndex>(i);
    pool[i].service_rate = 1000;
  }
  return pool;
}

constexpr std::array kAllKinds = {PickerKind::kEstimatedCompletion,
                                  PickerKind::kRandom, PickerKind::kRoundRobin,
                                  PickerKind::kLeastConnections,
                                  PickerKind::kCacheAffinity};

// Guards against a strategy that sends a call to a draining or quarantined
// server, or a second attempt to the server of the first.
TEST_CASE("no strategy picks an ineligible server") {
  PickerKind kind = GENERATE(from_range(kAllKinds));
  CAPTURE(kPickerKindNames.name(kind));
  auto picker = MakeServerPicker(kind);
  base::Random random(1);
  auto pool = Pool(4);
  pool[0].leaving = true;
  pool[1].quarantined = true;
  CallProfile call{.program = 7, .prompt_tokens = 100};
  call.holders = {{.server = 0, .tokens = 90}, {.server = 1, .tokens = 90}};
  call.excluded = {2};
  for (int i = 0; i < 50; ++i)
    CHECK(picker->Pick(pool, call, random) == 3u);
  call.excluded = {2, 3};
  CHECK_FALSE(picker->Pick(pool, call, random).has_value());
  call.excluded.clear();
  call.only_server = 2;
  CHECK(picker->Pick(pool, call, random) == 2u);
  CHECK_FALSE(picker->Pick({}, call, random).has_value());
}

// Guards against a holder that is chosen regardless of its backlog, and against
// a holder that is not chosen although recomputing its prefix takes longer.
TEST_CASE("a cache holder is chosen while its backlog is below the saving") {
  double weight = GENERATE(1.0, 8.0);
  EstimatedCompletionPicker picker({.recompute_weight = weight});
  base::Random random(1);
  auto pool = Pool(8);
  CallProfile call{.program = 7, .prompt_tokens = 5000, .output_tokens = 10};
  call.holders = {{.server = 3, .tokens = 4800}};
  pool[3].backlog_tokens = weight * 4000;
  for (int i = 0; i < 20; ++i)
    CHECK(picker.Pick(pool, call, random) == 3u);
  pool[3].backlog_tokens = weight * 6000;
  for (int i = 0; i < 20; ++i)
    CHECK(picker.Pick(pool, call, random) != 3u);
}

// Guards against giving an old report the same weight as a recent one.
TEST_CASE("an old report has less weight") {
  EstimatedCompletionPicker picker;
  CallProfile call{.prompt_tokens = 10};
  Candidate idle{.service_rate = 1000};
  Candidate stale = idle;
  stale.report_age = seconds(60);
  CHECK(picker.Estimate(stale, call, 5000) >
        10 * picker.Estimate(idle, call, 5000));
}

// Guards against a slow or distant server that receives as many calls as
// others.
TEST_CASE("slowness and distance lengthen the estimate") {
  EstimatedCompletionPicker picker;
  CallProfile call{.prompt_tokens = 1000};
  Candidate normal{.service_rate = 1000};
  Candidate slow = normal;
  slow.slowness = 4;
  Candidate far = normal;
  far.distance = milliseconds(1);
  CHECK(picker.Estimate(slow, call, 0) ==
        Approx(4 * picker.Estimate(normal, call, 0)));
  CHECK(picker.Estimate(far, call, 0) > picker.Estimate(normal, call, 0));
}

// Guards against several processes that all choose the same server when
// estimates are equal.
TEST_CASE("ties are spread over the pool") {
  PickerKind kind =
      GENERATE(PickerKind::kEstimatedCompletion, PickerKind::kLeastConnections);
  auto picker = MakeServerPicker(kind);
  base::Random random(3);
  auto pool = Pool(4);
  std::array<int, 4> hits{};
  for (int i = 0; i < 400; ++i)
    ++hits[*picker->Pick(pool, CallProfile{}, random)];
  CHECK(*std::min_element(hits.begin(), hits.end()) > 50);
}

// Guards against work that is counted twice, in the report and as sent work.
TEST_CASE("a report replaces the sends that it contains") {
  base::ManualClock clock;
  LoadTable table(2, clock.now());
  table.OnSend(1, 300, clock.now());
  clock.Advance(milliseconds(500));
  table.OnSend(1, 50, clock.now());
  table.OnReport(1, {.backlog_tokens = 300, .service_rate = 2000},
                 clock.now() + milliseconds(1));
  clock.Advance(milliseconds(201));
  std::vector<Candidate> out;
  table.Candidates(clock.now(), &out);
  REQUIRE(out.size() == 2);
  CHECK(out[1].sent_tokens == 50);
  CHECK(out[1].open_calls == 2);
  CHECK(out[1].report_age == milliseconds(200));
  table.OnEnd(1);
  table.SetLeaving(1, true);
  table.Candidates(clock.now(), &out);
  CHECK(out[1].open_calls == 1);
  CHECK(out[1].leaving);
}

}  // namespace
}  // namespace vanillalever::scheduling
