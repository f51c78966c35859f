#ifndef VANILLALEVER_FAKES_PREFIX_CACHE_H_
#define VANILLALEVER_FAKES_PREFIX_CACHE_H_

#include <cstdint>
#include <map>
#include <string>

namespace vanillalever::fakes {

// LRU prefix cache of the fake engine: the prompt texts whose KV is cached. One
// token is four bytes of text. Not thread-safe.
class PrefixCache {
 public:
  // `capacity`: maximum total of all entries, in tokens.
  explicit PrefixCache(std::int64_t capacity) : capacity_(capacity) {}

  // Number of tokens of `text` that need no prefill: the length of its common
  // prefix with the text cached under `key`.
  std::int64_t Lookup(const std::string& key, const std::string& text);

  // Caches `text` under `key` and evicts the least recently used entries while
  // the capacity is exceeded.
  void Store(const std::string& key, std::string text);

  // Removes the entry of `key`; returns whether there was one.
  bool Release(const std::string& key);

  std::map<std::string, std::int64_t> tokens_by_key() const;

  std::int64_t total_tokens() const { return total_tokens_; }

 private:
  struct Entry {
    std::string text;
    // Value of use_count_ at the last use.
    std::uint64_t last_use = 0;
  };

  std::int64_t capacity_;
  std::map<std::string, Entry> entries_;
  std::int64_t total_tokens_ = 0;
  // Number of lookups and stores so far; the logical clock of last_use.
  std::uint64_t use_count_ = 0;
};

// Number of tokens that the fake engine counts for a text, at least one.
std::int64_t TokenCount(const std::string& text);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_PREFIX_CACHE_H_
