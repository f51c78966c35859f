#ifndef VANILLALEVER_GUARD_RECENT_COMPLETIONS_H_
#define VANILLALEVER_GUARD_RECENT_COMPLETIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::guard {

// Remembers which requests completed lately: many callers may send the same
// one, which is then at work on many servers and in each of their crashes.
// Bounded; a request may be forgotten early. Not thread-safe.
class RecentCompletions {
 public:
  // How long a completion shows that the request does not crash servers.
  static constexpr base::seconds kLifetime{60};

  RecentCompletions();

  // `request`: hash of the request's content.
  void Add(std::uint64_t request, base::TimePoint now);
  bool Contains(std::uint64_t request, base::TimePoint now) const;

 private:
  struct Entry {
    std::uint64_t request = 0;
    base::TimePoint at{};
  };

  // Each request has one place, which the latest one takes.
  std::vector<Entry> entries_;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_RECENT_COMPLETIONS_H_
