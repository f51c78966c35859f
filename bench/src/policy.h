#ifndef VANILLALEVER_BENCH_POLICY_H_
#define VANILLALEVER_BENCH_POLICY_H_

#include <string>
#include <vector>

#include "vanillalever/scheduling/request_queue.h"
#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::bench {

// A combination of decision classes that is measured as a whole.
struct Policy {
  std::string name;
  scheduling::PickerKind picker = scheduling::PickerKind::kRandom;
  scheduling::QueueKind queue = scheduling::QueueKind::kFifo;
  // The concurrency limit follows latency; else the engine's batch size.
  bool adaptive_limit = false;
  // Prompts are computed in order of priority.
  bool engine_priority = false;
  // Slow repeatable short calls are sent twice.
  bool hedging = false;
  // Programs are admitted by priority and deadline.
  bool admission = false;
  // Servers are told when a program has ended.
  bool release = false;
  // Retries are bounded by RetryBudget; else each failed call is sent again
  // after a fixed delay.
  bool retry_budget = false;
};

// The system's own policy first, then the baselines.
std::vector<Policy> AllPolicies();

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_POLICY_H_
