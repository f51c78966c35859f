#ifndef VANILLALEVER_SCHEDULING_ENGINE_PRIORITY_H_
#define VANILLALEVER_SCHEDULING_ENGINE_PRIORITY_H_

#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::scheduling {

// Values of EnginePriority are in [0, kEnginePriorityStep * kPriorityCount).
inline constexpr int kEnginePriorityStep = 64;

// Prompt tokens for which calls of one level share an engine priority.
inline constexpr double kEnginePriorityTokens = 500;

// Priority that the sidecar passes to the engine; lower goes first. Among
// normal and low calls, those with fewer prompt tokens to compute go first:
// one evicted history of 20,000 tokens would hold up the short prompts of many
// programs for seconds. High calls are short and keep their order of arrival.
int EnginePriority(Priority priority, double prefill_tokens);

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ENGINE_PRIORITY_H_
