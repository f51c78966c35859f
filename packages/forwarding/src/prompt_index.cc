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
    if (!prefixes_.contains(link.key))
      break;
    tokens += link.tokens;
  }
  return tokens;
}

void PromptIndex::Touch(const PromptChain& chain) {
  // In reverse, so that the first part becomes the most recently used: later
  // parts are useless without it.
  for (std::size_t i = chain.links.size(); i-- > 0;) {
    const PromptChain::Link& link = chain.links[i];
    auto found = prefixes_.find(link.key);
    if (found != prefixes_.end()) {
      recency_.splice(recency_.begin(), recency_, found->second.position);
      continue;
    }
    recency_.push_front(link.key);
    prefixes_[link.key] = {link.tokens, recency_.begin()};
    cached_tokens_ += link.tokens;
  }
  while (cached_tokens_ > capacity_ && recency_.size() > 1) {
    auto last = prefixes_.find(recency_.back());
    cached_tokens_ -= last->second.tokens;
    prefixes_.erase(last);
    recency_.pop_back();
  }
}

void PromptIndex::Clear() {
  prefixes_.clear();
  recency_.clear();
  cached_tokens_ = 0;
}

}  // namespace vanillalever::forwarding
