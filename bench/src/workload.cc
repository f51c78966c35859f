#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace vanillalever::bench {
namespace {

using base::microseconds;
using base::seconds;
using scheduling::Priority;

// Maximum number of sub-agents that one turn starts.
constexpr std::uint64_t kMaxSubAgents = 3;

// Maximum output of one call, like the max_tokens of an engine.
constexpr double kMaxOutputTokens = 4000;

double DrawNormal(base::Random& random) {
  double u = 1 - random.Uniform();
  return std::sqrt(-2 * std::log(u)) *
         std::cos(2 * std::numbers::pi * random.Uniform());
}

double DrawLogNormal(base::Random& random, double median, double sigma) {
  return median * std::exp(sigma * DrawNormal(random));
}

base::Duration ToDuration(double value) {
  return base::Duration(static_cast<std::int64_t>(value * 1e9));
}

ProgramShape DrawShape(const WorkloadSettings& workload,
                       std::size_t program_class,
                       base::Random& random) {
  const ClassSettings& settings = workload.classes[program_class];
  ProgramShape shape{.program_class = program_class, .turns = {}};
  int span = settings.max_turns - settings.min_turns;
  // Squared, so that most programs are short, with a tail of long ones.
  double position = random.Uniform();
  int turns = settings.min_turns +
              static_cast<int>(std::lround(span * position * position));
  for (int i = 0; i < turns; ++i) {
    TurnShape turn;
    turn.prompt = DrawLogNormal(
        random, i == 0 ? settings.first_prompt : settings.turn_prompt,
        settings.sigma);
    turn.output = DrawLogNormal(random, settings.output, settings.sigma);
    if (random.Uniform() < workload.straggler_share)
      turn.output *= workload.straggler_factor;
    turn.output = std::min(turn.output, kMaxOutputTokens);
    turn.pause = ToDuration(-settings.pause * std::log(1 - random.Uniform()));
    if (i + 1 < turns && random.Uniform() < settings.sub_agent_share) {
      std::uint64_t count = 1 + random.Below(kMaxSubAgents);
      for (std::uint64_t c = 0; c < count; ++c)
        turn.children.push_back(
            DrawShape(workload, settings.sub_agent_class, random));
    }
    shape.turns.push_back(std::move(turn));
  }
  return shape;
}

double RateFactor(const WorkloadSettings& workload, base::Duration time) {
  if (InPeak(workload, time))
    return workload.peak_factor;
  return (workload.peak_period - workload.peak_length * workload.peak_factor) /
         (workload.peak_period - workload.peak_length);
}

}  // namespace

WorkloadSettings CascaWorkload() {
  WorkloadSettings workload;
  workload.name = "casca";
  workload.servers = 15;
  workload.capacity = 7.0;
  workload.data_centre_latency = microseconds(1000);
  workload.classes = {{.name = "quick_check",
                       .share = 0.70,
                       .priority = Priority::kHigh,
                       .is_short = true,
                       .deadline = seconds(15),
                       .min_turns = 1,
                       .max_turns = 4,
                       .first_prompt = 1500,
                       .turn_prompt = 200,
                       .output = 50,
                       .pause = 0.3},
                      {.name = "quality_review",
                       .share = 0.20,
                       .priority = Priority::kNormal,
                       .deadline = seconds(240),
                       .min_turns = 6,
                       .max_turns = 30,
                       .first_prompt = 3000,
                       .turn_prompt = 500,
                       .output = 120,
                       .pause = 1.0,
                       .sub_agent_share = 0.06,
                       .sub_agent_class = 3},
                      {.name = "lot_history",
                       .share = 0.10,
                       .priority = Priority::kLow,
                       .deadline = seconds(120),
                       .min_turns = 3,
                       .max_turns = 12,
                       .first_prompt = 4000,
                       .turn_prompt = 800,
                       .output = 100,
                       .pause = 0.5},
                      {.name = "review_sub_agent",
                       .priority = Priority::kNormal,
                       .deadline = seconds(240),
                       .min_turns = 2,
                       .max_turns = 6,
                       .first_prompt = 2000,
                       .turn_prompt = 400,
                       .output = 100,
                       .pause = 0.5}};
  return workload;
}

WorkloadSettings TanWorkload() {
  WorkloadSettings workload;
  workload.name = "tan";
  workload.servers = 10;
  workload.capacity = 4.6;
  workload.data_centre_latency = microseconds(1200);
  workload.classes = {{.name = "counter_quote",
                       .share = 0.75,
                       .priority = Priority::kHigh,
                       .is_short = true,
                       .deadline = seconds(8),
                       .min_turns = 1,
                       .max_turns = 3,
                       .first_prompt = 1200,
                       .turn_prompt = 200,
                       .output = 60,
                       .pause = 0.3},
                      {.name = "parts_chasing",
                       .share = 0.13,
                       .priority = Priority::kNormal,
                       .deadline = seconds(400),
                       .min_turns = 10,
                       .max_turns = 50,
                       .first_prompt = 2500,
                       .turn_prompt = 400,
                       .output = 120,
                       .pause = 1.5,
                       .sub_agent_share = 0.04,
                       .sub_agent_class = 3},
                      {.name = "courier_refund",
                       .share = 0.12,
                       .priority = Priority::kNormal,
                       .deadline = seconds(60),
                       .min_turns = 2,
                       .max_turns = 6,
                       .first_prompt = 1500,
                       .turn_prompt = 300,
                       .output = 80,
                       .pause = 0.8},
                      {.name = "parts_sub_agent",
                       .priority = Priority::kNormal,
                       .deadline = seconds(400),
                       .min_turns = 2,
                       .max_turns = 8,
                       .first_prompt = 1500,
                       .turn_prompt = 400,
                       .output = 100,
                       .pause = 1.0}};
  return workload;
}

bool InPeak(const WorkloadSettings& workload, base::Duration time) {
  double position = std::fmod(std::chrono::duration<double>(time).count(),
                              workload.peak_period);
  // The peak is in the middle of the period.
  double start = (workload.peak_period - workload.peak_length) / 2;
  return position >= start && position < start + workload.peak_length;
}

ProgramShape DrawProgram(const WorkloadSettings& workload,
                         base::Random& random) {
  double position = random.Uniform();
  std::size_t program_class = 0;
  while (position >= workload.classes[program_class].share &&
         workload.classes[program_class + 1].share > 0) {
    position -= workload.classes[program_class].share;
    ++program_class;
  }
  return DrawShape(workload, program_class, random);
}

std::vector<Arrival> DrawArrivals(const WorkloadSettings& workload,
                                  double rate,
                                  base::Duration length,
                                  std::uint64_t seed) {
  base::Random random(seed);
  std::vector<Arrival> arrivals;
  double max_rate = rate * workload.peak_factor;
  double time = 0;
  double end = std::chrono::duration<double>(length).count();
  // Thinning: candidates at the maximum rate are kept with the probability
  // current rate / maximum rate.
  while (true) {
    time -= std::log(1 - random.Uniform()) / max_rate;
    if (time >= end)
      return arrivals;
    base::Duration at = ToDuration(time);
    if (random.Uniform() * workload.peak_factor > RateFactor(workload, at))
      continue;
    arrivals.push_back({.time = at, .shape = DrawProgram(workload, random)});
  }
}

double UsefulWork(const ProgramShape& shape) {
  double total = 0;
  for (const TurnShape& turn : shape.turns) {
    total += turn.prompt + scheduling::kDecodeWeight * turn.output;
    for (const ProgramShape& child : turn.children)
      total += UsefulWork(child);
  }
  return total;
}

double MeanUsefulWork(const WorkloadSettings& workload) {
  constexpr int kSampleCount = 50000;
  base::Random random(1);
  double total = 0;
  for (int i = 0; i < kSampleCount; ++i)
    total += UsefulWork(DrawProgram(workload, random));
  return total / kSampleCount;
}

double CriticalPath(const WorkloadSettings& workload,
                    const ProgramShape& shape) {
  const EngineSettings& engine = workload.engine;
  double step = engine.base_step_seconds + engine.step_seconds_per_call;
  double total = 0;
  for (std::size_t i = 0; i < shape.turns.size(); ++i) {
    const TurnShape& turn = shape.turns[i];
    total += turn.prompt / engine.prefill_rate + turn.output * step;
    double children = 0;
    for (const ProgramShape& child : turn.children)
      children = std::max(children, CriticalPath(workload, child));
    total += children;
    if (i + 1 < shape.turns.size())
      total += std::chrono::duration<double>(turn.pause).count();
  }
  return total;
}

}  // namespace vanillalever::bench
