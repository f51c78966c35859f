#include "vanillalever/scheduling/engine_priority.h"

#include <algorithm>

namespace vanillalever::scheduling {

int EnginePriority(Priority priority, double prefill_tokens) {
  int base_priority = static_cast<int>(priority) * kEnginePriorityStep;
  if (priority == Priority::kHigh)
    return base_priority;
  double offset = std::max(0.0, prefill_tokens) / kEnginePriorityTokens;
  return base_priority +
         static_cast<int>(std::min<double>(kEnginePriorityStep - 1, offset));
}

}  // namespace vanillalever::scheduling
