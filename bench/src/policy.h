#ifndef VANILLALEVER_BENCH_POLICY_H_
#define VANILLALEVER_BENCH_POLICY_H_

#include <string>
#include <vector>

#include "vanillalever/scheduling/request_queue.h"
#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::bench {

// A combination of scheduling algorithms to be measured.
struct Policy {
  std::string name;
  scheduling::PickerKind picker = scheduling::PickerKind::kRandom;
  scheduling::QueueKind queue = scheduling::QueueKind::kFifo;
  // Adapt the concurrency limit to latency; else use the engine's batch size.
  bool adaptive_limit = false;
  // Pass priorities to the engine, which orders prefill by them.
  bool engine_priority = false;
  // Hedge slow, repeatable, short calls: send them to a second server.
  bool hedging = false;
  // Apply admission control by priority and deadline.
  bool admission = false;
  // Release cached KV on the servers when a program ends.
  bool release = false;
  // Limit retries by RetryBudget; else retry each failed call after a fixed
  // delay.
  bool retry_budget = false;
};

// The system's policy, followed by the baselines.
std::vector<Policy> AllPolicies();

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_POLICY_H_
