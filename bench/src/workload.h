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

// Distributions of one program class. Token counts are log-normal with the
// given medians; a share of the calls are stragglers with much longer output.
struct ClassSettings {
  std::string name;
  // Share of the arrivals; zero for classes that only run as sub-agents.
  double share = 0;
  scheduling::Priority priority = scheduling::Priority::kNormal;
  // Included in the short_wait measures.
  bool is_short = false;
  // Time after which the program is aborted, because its result is useless.
  base::Duration deadline{0};
  int min_turns = 1;
  int max_turns = 1;
  // Median tokens of the first prompt, of the prompt added by each further
  // turn, and of the output of a turn.
  double first_prompt = 0;
  double turn_prompt = 0;
  double output = 0;
  // Standard deviation of the logarithm of the token counts.
  double sigma = 0.5;
  // Mean tool pause after a turn, in seconds.
  double pause = 0;
  // Probability that a turn starts sub-agents, and of which class.
  double sub_agent_share = 0;
  std::size_t sub_agent_class = 0;
};

// Programs of one organisation and the servers that run them.
struct WorkloadSettings {
  std::string name;
  std::size_t servers = 0;
  std::size_t data_centres = 3;
  // Programs per second that the pool can complete, from `vl_bench
  // --measure_capacity`. Fixed, so that a change of a policy does not change
  // the load at which all policies are compared.
  double capacity = 0;
  // One-way latency between data centres.
  base::Duration data_centre_latency{0};
  std::vector<ClassSettings> classes;
  // Demand peaks: period and length (seconds), and arrival rate relative to the
  // mean.
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
  // Tool pause after the response.
  base::Duration pause{0};
  // Sub-agents started after the response; the next turn waits for all of them.
  std::vector<ProgramShape> children;
};

// All turns of a program; a policy sees a turn only when it is issued.
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

// Whether the time is within a demand peak.
bool InPeak(const WorkloadSettings& workload, base::Duration time);

// Draws one program from the workload's class mix.
ProgramShape DrawProgram(const WorkloadSettings& workload,
                         base::Random& random);

// Open-loop arrivals over `length` at a mean of `rate` programs per second.
std::vector<Arrival> DrawArrivals(const WorkloadSettings& workload,
                                  double rate,
                                  base::Duration length,
                                  std::uint64_t seed);

// New prompt tokens and output of the program and its sub-agents (work tokens).
double UsefulWork(const ProgramShape& shape);

// Mean useful work of the workload's programs.
double MeanUsefulWork(const WorkloadSettings& workload);

// Length of the program's critical path: its time on idle servers with a
// perfect cache (seconds).
double CriticalPath(const WorkloadSettings& workload,
                    const ProgramShape& shape);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_WORKLOAD_H_
