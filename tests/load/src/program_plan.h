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
  // Whether the call goes to a model engine; else to a service.
  bool model = false;
  // Pool and operation of the call.
  std::string pool;
  std::string operation;
  // Whether the call may be executed more than once.
  bool repeatable = true;
  // Length of the user's message, in bytes; models only.
  std::size_t prompt_bytes = 0;
  // Tokens to generate; models only.
  std::int64_t output_tokens = 0;
  // Pause before the next turn, for a tool outside the system.
  base::milliseconds pause{0};
};

// One program with its sub-agents.
struct PlannedProgram {
  // Caller's key, unique in the run.
  std::string key;
  std::string program_class;
  std::vector<PlannedTurn> turns;
  // Sub-agents: started together after the first turn; the second turn waits
  // until all have ended.
  std::vector<PlannedProgram> children;

  // Number of programs including sub-agents.
  std::size_t size() const;

  // Token budget that covers all calls at one token per byte, including the
  // budgets of the sub-agents, which are deducted from it.
  std::int64_t budget() const;
};

// Draws a program of the workload.
PlannedProgram DrawProgram(Workload workload,
                           const std::string& key,
                           base::Random& random);

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_PROGRAM_PLAN_H_
