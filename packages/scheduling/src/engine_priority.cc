#include "vanillalever/scheduling/engine_priority.h"

#include <algorithm>

namespace vanillalever::scheduling {

int EnginePriority(Priority priority, double prefill_tokens) {
  int level = static_cast<int>(priority) * kEnginePriorityStep;
  if (priority == Priority::kHigh)
    return level;
  double step = std::max(0.0, prefill_tokens) / kEnginePriorityTokens;
  return level +
         static_cast<int>(std::min<double>(kEnginePriorityStep - 1, step));
}

}  // namespace vanillalever::scheduling
