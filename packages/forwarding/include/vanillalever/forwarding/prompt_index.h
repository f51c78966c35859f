#ifndef VANILLALEVER_FORWARDING_PROMPT_INDEX_H_
#define VANILLALEVER_FORWARDING_PROMPT_INDEX_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanillalever/forwarding/request_profile.h"

namespace vanillalever::forwarding {

// Hashes of a prompt's prefixes: element i covers the parts 0..i.
struct PromptChain {
  struct Link {
    std::uint64_t key = 0;
    // Tokens of this part alone.
    std::int64_t tokens = 0;
  };
  std::vector<Link> links;
};

PromptChain MakePromptChain(const std::vector<PromptPart>& parts);

// Model of one server's prefix cache: the prefixes sent to it, with LRU
// eviction. Not thread-safe.
class PromptIndex {
 public:
  // `capacity` in tokens.
  explicit PromptIndex(std::int64_t capacity) : capacity_(capacity) {}

  // Tokens of the prompt's longest prefix that the server presumably caches.
  std::int64_t CachedTokens(const PromptChain& chain) const;
  // Marks the prompt's prefixes as most recently used.
  void Touch(const PromptChain& chain);
  void Clear();

 private:
  struct CachedPrefix {
    std::int64_t tokens = 0;
    std::list<std::uint64_t>::iterator position;
  };

  std::int64_t capacity_;
  std::int64_t cached_tokens_ = 0;
  // Most recently used first.
  std::list<std::uint64_t> recency_;
  std::unordered_map<std::uint64_t, CachedPrefix> prefixes_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PROMPT_INDEX_H_
