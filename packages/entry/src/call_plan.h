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

// A call with the settings that were resolved for it.
struct CallPlan {
  program::ProgramId id;
  program::CallRequest call;
  std::string organisation;
  std::string program_incarnation;
  std::string program_class;
  std::string body;
  base::TimePoint deadline;
  base::milliseconds program_age{0};
  // Level in the servers' queues; lower is more urgent.
  std::uint32_t priority = 0;
  std::uint32_t max_tokens = 0;
  std::int64_t operation_cost = 0;
  // Hash of the program class; key for output length estimates.
  int class_hash = 0;
  bool is_engine = true;
  bool short_work = false;
  bool stream = false;
  // Whether the program has completed turns before.
  bool in_progress = false;
};

// Request for an attempt of the call. The caller sets the fields that depend on
// the attempt: sidecar_incarnation, expected_tokens and alone.
protocol::ExecuteRequest MakeExecuteRequest(const CallPlan& plan,
                                            const program::AttemptKey& key,
                                            const program::ProgramShard& shard,
                                            base::TimePoint now);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALL_PLAN_H_
