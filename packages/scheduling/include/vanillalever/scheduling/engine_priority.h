#ifndef VANILLALEVER_SCHEDULING_ENGINE_PRIORITY_H_
#define VANILLALEVER_SCHEDULING_ENGINE_PRIORITY_H_

#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::scheduling {

// Engine priorities per call priority: EnginePriority() returns values in
// [0, kEnginePriorityStep * kPriorityCount).
inline constexpr int kEnginePriorityStep = 64;

// Prompt tokens per increment of the engine priority.
inline constexpr double kEnginePriorityTokens = 500;

// Priority by which an engine orders its prefill; lower values run first. Among
// normal and low calls, those with fewer prompt tokens to compute run first:
// recomputing one evicted prompt of 20,000 tokens would delay the short prompts
// of many programs for seconds. High calls are short and run in order of
// arrival.
int EnginePriority(Priority priority, double prefill_tokens);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ENGINE_PRIORITY_H_
