#ifndef VANILLALEVER_BENCH_WORKLOAD_H_
#define VANILLALEVER_BENCH_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "engine_model.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::bench {

// Distributions of one program class. All token counts are log-normal around a
// median; a share of the calls are stragglers with much longer output.
struct ClassSettings {
  std::string name;
  // Share of the arrivals; zero for classes that only run as sub-agents.
  double share = 0;
  scheduling::Priority priority = scheduling::Priority::kNormal;
  // Counts as short work in the measures.
  bool is_short = false;
  // Time after which the program's result is of no use; it is dropped then.
  base::Duration deadline{0};
  int min_turns = 1;
  int max_turns = 1;
  // Tokens of the first prompt, added by each further turn, and generated.
  double first_prompt = 0;
  double turn_prompt = 0;
  double output = 0;
  // Spread of the token counts (sigma of the logarithm).
  double sigma = 0.5;
  // Mean tool pause after a turn, in seconds.
  double pause = 0;
  // Probability that a turn starts sub-agents, and of which class.
  double sub_agent_share = 0;
  std::size_t sub_agent_class = 0;
};

// Programs of one customer and the servers that run them.
struct WorkloadSettings {
  std::string name;
  std::size_t servers = 0;
  std::size_t data_centres = 3;
  // Programs per second that the pool can finish, as measured by
  // `vl_bench --measure_capacity`. It is pinned so that a better or worse
  // policy does not change the load that all policies are measured at.
  double capacity = 0;
  // One-way latency between data centres.
  base::Duration distance{0};
  std::vector<ClassSettings> classes;
  // Demand peaks: period, length and arrival rate relative to the mean.
  double peak_period = 40;
  double peak_length = 8;
  double peak_factor = 3.0;
  // Probability that a call is a straggler, and the factor on its output.
  double straggler_share = 0.01;
  double straggler_factor = 10;
  EngineSettings engine;
};

struct ProgramShape;

// One call of a program and what follows it.
struct TurnShape {
  // Prompt tokens added to the program's history, and tokens generated.
  double prompt = 0;
  double output = 0;
  // Tool pause after the answer.
  base::Duration pause{0};
  // Sub-agents started after the answer; the next turn waits for all of them.
  std::vector<ProgramShape> children;
};

// A program as it will unfold; policies see a turn only when it is issued.
struct ProgramShape {
  std::size_t program_class = 0;
  std::vector<TurnShape> turns;
};

// A program and the time after the start of the run at which it arrives.
struct Arrival {
  base::Duration time{0};
  ProgramShape shape;
};

WorkloadSettings CascaWorkload();
WorkloadSettings TanWorkload();

// Whether the time lies in a demand peak.
bool InPeak(const WorkloadSettings& workload, base::Duration time);

// One program drawn from the workload's mix.
ProgramShape DrawProgram(const WorkloadSettings& workload,
                         base::Random& random);

// Open-loop arrivals over `length` with `rate` programs per second on average.
std::vector<Arrival> DrawArrivals(const WorkloadSettings& workload,
                                  double rate,
                                  base::Duration length,
                                  std::uint64_t seed);

// New prompt tokens and output of the program and its sub-agents (work tokens).
double UsefulWork(const ProgramShape& shape);

// Mean useful work of the workload's programs.
double MeanUsefulWork(const WorkloadSettings& workload);

// Time of the program on idle servers with a perfect cache (seconds): its
// critical path.
double CriticalPath(const WorkloadSettings& workload,
                    const ProgramShape& shape);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_WORKLOAD_H_
