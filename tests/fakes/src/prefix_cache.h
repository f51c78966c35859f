#ifndef VANILLALEVER_FAKES_PREFIX_CACHE_H_
#define VANILLALEVER_FAKES_PREFIX_CACHE_H_

#include <cstdint>
#include <map>
#include <string>

namespace vanillalever::fakes {

// Prompt texts whose KV cache the fake engine holds, with limited memory. One
// token is four bytes of text. Not thread-safe.
class PrefixCache {
 public:
  // `capacity`: tokens of all entries together.
  explicit PrefixCache(std::int64_t capacity) : capacity_(capacity) {}

  // Number of tokens of `text` that need no prefill: its common prefix with
  // what is held under `key`.
  std::int64_t Lookup(const std::string& key, const std::string& text);

  // Holds `text` under `key` and evicts the least recently used entries beyond
  // the capacity.
  void Store(const std::string& key, std::string text);

  // Returns whether something was held under `key`.
  bool Release(const std::string& key);

  // Tokens held, by key.
  std::map<std::string, std::int64_t> held() const;

  std::int64_t held_tokens() const { return held_tokens_; }

 private:
  struct Entry {
    std::string text;
    // Value of uses_ at the last use.
    std::uint64_t last_use = 0;
  };

  std::int64_t capacity_;
  std::map<std::string, Entry> entries_;
  std::int64_t held_tokens_ = 0;
  // Number of lookups and stores so far; orders the entries by use.
  std::uint64_t uses_ = 0;
};

// Number of tokens that the fake engine counts for a text, at least one.
std::int64_t TokenCount(const std::string& text);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_PREFIX_CACHE_H_
