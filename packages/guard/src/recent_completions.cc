#include "vanillalever/guard/recent_completions.h"

namespace vanillalever::guard {
namespace {

constexpr std::size_t kEntries = 4096;

}  // namespace

RecentCompletions::RecentCompletions() : entries_(kEntries) {}

void RecentCompletions::Add(std::uint64_t request, base::TimePoint now) {
  entries_[request % kEntries] = {request, now};
}

bool RecentCompletions::Contains(std::uint64_t request,
                                 base::TimePoint now) const {
  const Entry& entry = entries_[request % kEntries];
  return entry.request == request && entry.at != base::TimePoint{} &&
         now - entry.at <= kLifetime;
}

}  // namespace vanillalever::guard
