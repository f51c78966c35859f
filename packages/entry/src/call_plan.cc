#include "call_plan.h"

#include <algorithm>

namespace vanillalever::entry {

protocol::ExecuteRequest MakeExecuteRequest(const CallPlan& plan,
                                            const program::AttemptKey& key,
                                            const program::ProgramShard& shard,
                                            base::TimePoint now) {
  protocol::ExecuteRequest request;
  request.organisation = plan.organisation;
  request.program = plan.id.text();
  request.program_incarnation = plan.program_incarnation;
  request.shard = shard.shard();
  request.fence = shard.fence();
  request.turn = key.turn;
  request.attempt = key.attempt;
  request.work_token = key.work_token;
  request.pool = plan.call.pool;
  request.operation = plan.call.operation;
  request.repeatable = plan.call.repeatable;
  request.priority = plan.priority;
  request.program_class = plan.program_class;
  auto remaining =
      std::chrono::duration_cast<base::milliseconds>(plan.deadline - now);
  request.deadline_ms =
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, remaining.count()));
  request.max_tokens = plan.max_tokens;
  request.short_work = plan.short_work;
  if (plan.is_engine)
    request.prefix_key = plan.id.text() + "#" + plan.program_incarnation;
  request.body = plan.body;
  request.program_age_ms = static_cast<std::uint64_t>(plan.program_age.count());
  request.stream = plan.stream;
  return request;
}

}  // namespace vanillalever::entry
