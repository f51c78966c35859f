#ifndef VANILLALEVER_LOAD_PROGRAM_PLAN_H_
#define VANILLALEVER_LOAD_PROGRAM_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"

namespace vanillalever::load {

// Sample workloads of the design page.
enum class Workload { kCasca, kTan };

inline constexpr base::NameTable<Workload, 2> kWorkloadNames({"casca", "tan"});

// One call of a program.
struct PlannedTurn {
  // Whether the call goes to a model engine, else to a plain service.
  bool model = false;
  // Pool and operation of the call.
  std::string pool;
  std::string operation;
  // Whether running the call twice does no harm.
  bool repeatable = true;
  // Length of the user's message, in bytes; models only.
  std::size_t prompt_bytes = 0;
  // Tokens to generate; models only.
  std::int64_t output_tokens = 0;
  // Pause before the next turn: the time of a tool outside the system.
  base::milliseconds pause{0};
};

// One program with its sub-agents.
struct PlannedProgram {
  // Caller's key, unique in the run.
  std::string key;
  std::string program_class;
  std::vector<PlannedTurn> turns;
  // Sub-agents: started together after the first turn; the second turn waits
  // for their end.
  std::vector<PlannedProgram> children;

  // Number of programs including sub-agents.
  std::size_t size() const;

  // Budget in tokens that covers every call, counted with one token per byte,
  // and the budgets of the sub-agents, which are taken out of it.
  std::int64_t budget() const;
};

// Draws a program of the workload.
PlannedProgram DrawProgram(Workload workload,
                           const std::string& key,
                           base::Random& random);

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_PROGRAM_PLAN_H_
