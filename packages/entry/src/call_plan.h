#ifndef VANILLALEVER_ENTRY_SRC_CALL_PLAN_H_
#define VANILLALEVER_ENTRY_SRC_CALL_PLAN_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/program/attempt.h"
#include "vanillalever/program/call.h"
#include "vanillalever/program/program_shard.h"
#include "vanillalever/protocol/messages.h"

namespace vanillalever::entry {

// Everything about a call that was admitted as a new turn.
struct CallPlan {
  program::ProgramId id;
  program::CallRequest call;
  std::string organisation;
  std::string program_incarnation;
  std::string program_class;
  std::string body;
  base::TimePoint deadline;
  base::milliseconds program_age{0};
  // Level at the servers' queues; lower is more urgent.
  std::uint32_t priority = 0;
  std::uint32_t max_tokens = 0;
  std::int64_t operation_cost = 0;
  // Number that stands for the class in estimates.
  int class_key = 0;
  bool engine = true;
  bool short_work = false;
  bool stream = false;
  // Whether the program has completed turns before.
  bool in_progress = false;
};

// Message for an attempt of the call. The caller fills what depends on the
// chosen server: its incarnation, the expected length, and whether it runs
// alone.
protocol::ExecuteRequest MakeExecuteRequest(const CallPlan& plan,
                                            const program::AttemptKey& key,
                                            const program::ProgramShard& shard,
                                            base::TimePoint now);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALL_PLAN_H_
