#include "vanillalever/forwarding/prompt_index.h"

#include <cstddef>

#include "vanillalever/base/hash.h"

namespace vanillalever::forwarding {

PromptChain MakePromptChain(const std::vector<PromptPart>& parts) {
  PromptChain chain;
  chain.links.reserve(parts.size());
  std::uint64_t key = 0;
  for (const PromptPart& part : parts) {
    key = base::Hash64(part.id, key + 1);
    chain.links.push_back({key, part.tokens});
  }
  return chain;
}

std::int64_t PromptIndex::CachedTokens(const PromptChain& chain) const {
  std::int64_t tokens = 0;
  for (const PromptChain::Link& link : chain.links) {
    if (!entries_.contains(link.key))
      break;
    tokens += link.tokens;
  }
  return tokens;
}

void PromptIndex::Touch(const PromptChain& chain) {
  // The first part ends up as the most recently used, because later parts are
  // of no use without it.
  for (std::size_t i = chain.links.size(); i-- > 0;) {
    const PromptChain::Link& link = chain.links[i];
    auto found = entries_.find(link.key);
    if (found != entries_.end()) {
      order_.splice(order_.begin(), order_, found->second.position);
      continue;
    }
    order_.push_front(link.key);
    entries_[link.key] = {link.tokens, order_.begin()};
    held_ += link.tokens;
  }
  while (held_ > capacity_ && order_.size() > 1) {
    auto last = entries_.find(order_.back());
    held_ -= last->second.tokens;
    entries_.erase(last);
    order_.pop_back();
  }
}

void PromptIndex::Clear() {
  entries_.clear();
  order_.clear();
  held_ = 0;
}

}  // namespace vanillalever::forwarding
