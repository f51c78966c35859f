#include "vanillalever/guard/crash_order.h"

#include <algorithm>

namespace vanillalever::guard {
namespace {

constexpr std::size_t kMaxCrashesKept = 4096;
constexpr std::size_t kLastSends = 2;

}  // namespace

void CrashOrder::Add(const std::string& run,
                     const std::string& fingerprint,
                     base::Duration at_work,
                     base::TimePoint now) {
  if (crashes_.size() >= kMaxCrashesKept && !crashes_.contains(run))
    return;
  auto [found, added] = crashes_.try_emplace(run);
  if (added)
    found->second.known_at = now;
  std::vector<Sent>& last = found->second.last;
  auto known = std::find_if(last.begin(), last.end(), [&](const Sent& sent) {
    return sent.fingerprint == fingerprint;
  });
  if (known == last.end())
    last.push_back({fingerprint, at_work});
  else
    known->at_work = std::min(known->at_work, at_work);
  std::sort(last.begin(), last.end(),
            [](const Sent& a, const Sent& b) { return a.at_work < b.at_work; });
  if (last.size() > kLastSends)
    last.pop_back();
}

std::size_t CrashOrder::CountSentLater(const std::set<std::string>& crashes,
                                       const std::string& fingerprint) const {
  auto count = std::count_if(
      crashes.begin(), crashes.end(), [&](const std::string& run) {
        auto found = crashes_.find(run);
        if (found == crashes_.end())
          return false;
        const std::vector<Sent>& last = found->second.last;
        if (last.front().fingerprint != fingerprint)
          return true;
        return last.size() > 1 &&
               last[1].at_work <= last.front().at_work + kMargin;
      });
  return static_cast<std::size_t>(count);
}

void CrashOrder::Expire(base::TimePoint oldest) {
  std::erase_if(crashes_, [oldest](const auto& item) {
    return item.second.known_at < oldest;
  });
}

}  // namespace vanillalever::guard
