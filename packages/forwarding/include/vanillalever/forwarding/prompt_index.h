#ifndef VANILLALEVER_FORWARDING_PROMPT_INDEX_H_
#define VANILLALEVER_FORWARDING_PROMPT_INDEX_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanillalever/forwarding/request_profile.h"

namespace vanillalever::forwarding {

// Keys of a prompt's prefixes: entry i stands for the parts 0..i.
struct PromptChain {
  struct Link {
    std::uint64_t key = 0;
    // Tokens of this part alone.
    std::int64_t tokens = 0;
  };
  std::vector<Link> links;
};

PromptChain MakePromptChain(const std::vector<PromptPart>& parts);

// Which prompt prefixes one server is believed to hold: those sent there, least
// recently used first out. Not thread-safe.
class PromptIndex {
 public:
  // `capacity` in tokens.
  explicit PromptIndex(std::int64_t capacity) : capacity_(capacity) {}

  // Tokens at the start of the prompt that the server is believed to hold.
  std::int64_t CachedTokens(const PromptChain& chain) const;
  // The prompt was sent to the server.
  void Touch(const PromptChain& chain);
  // The server restarted.
  void Clear();

 private:
  struct Entry {
    std::int64_t tokens = 0;
    std::list<std::uint64_t>::iterator position;
  };

  std::int64_t capacity_;
  std::int64_t held_ = 0;
  // Most recently used first.
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PROMPT_INDEX_H_
