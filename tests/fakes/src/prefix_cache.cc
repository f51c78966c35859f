#include "prefix_cache.h"

#include <algorithm>
#include <utility>

namespace vanillalever::fakes {
namespace {

constexpr std::int64_t kBytesPerToken = 4;

}  // namespace

std::int64_t TokenCount(const std::string& text) {
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(text.size()) / kBytesPerToken);
}

std::int64_t PrefixCache::Lookup(const std::string& key,
                                 const std::string& text) {
  auto found = entries_.find(key);
  if (found == entries_.end())
    return 0;
  found->second.last_use = ++use_count_;
  const std::string& cached = found->second.text;
  auto [end, unused] =
      std::mismatch(cached.begin(), cached.end(), text.begin(), text.end());
  return (end - cached.begin()) / kBytesPerToken;
}

void PrefixCache::Store(const std::string& key, std::string text) {
  Release(key);
  total_tokens_ += TokenCount(text);
  entries_[key] = {std::move(text), ++use_count_};
  while (total_tokens_ > capacity_) {
    auto least_recent = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.last_use < b.second.last_use;
        });
    Release(std::string(least_recent->first));
  }
}

bool PrefixCache::Release(const std::string& key) {
  auto found = entries_.find(key);
  if (found == entries_.end())
    return false;
  total_tokens_ -= TokenCount(found->second.text);
  entries_.erase(found);
  return true;
}

std::map<std::string, std::int64_t> PrefixCache::tokens_by_key() const {
  std::map<std::string, std::int64_t> tokens;
  for (const auto& [key, entry] : entries_)
    tokens[key] = TokenCount(entry.text);
  return tokens;
}

}  // namespace vanillalever::fakes
