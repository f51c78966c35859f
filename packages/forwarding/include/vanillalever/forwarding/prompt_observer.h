#ifndef VANILLALEVER_FORWARDING_PROMPT_OBSERVER_H_
#define VANILLALEVER_FORWARDING_PROMPT_OBSERVER_H_

#include "vanillalever/forwarding/prompt_index.h"
#include "vanillalever/forwarding/server_registry.h"

namespace vanillalever::forwarding {

// Receives the prompts that other gateways send to servers.
class PromptObserver {
 public:
  virtual ~PromptObserver() = default;
  virtual void OnPeerPrompt(const ServerSlot& slot,
                            const PromptChain& chain) = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PROMPT_OBSERVER_H_
