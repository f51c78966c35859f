#ifndef VANILLALEVER_GUARD_CRASH_ORDER_H_
#define VANILLALEVER_GUARD_CRASH_ORDER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::guard {

// Remembers for each crash which of the requests at work were sent last. A
// request that crashes each server that begins to run it is the last one,
// unless it had to wait at the server; others seldom are. Bounded. Not
// thread-safe.
class CrashOrder {
 public:
  // Sends closer than this may have reached the server in another order.
  static constexpr base::milliseconds kMargin{10};

  // The request was at work for this long when the server's run ended.
  void Add(const std::string& run,
           const std::string& fingerprint,
           base::Duration at_work,
           base::TimePoint now);
  // In how many of these crashes another request may have been sent later.
  std::size_t CountSentLater(const std::set<std::string>& crashes,
                             const std::string& fingerprint) const;
  // Forgets crashes that became known before `oldest`.
  void Expire(base::TimePoint oldest);

 private:
  struct Sent {
    std::string fingerprint;
    base::Duration at_work{0};
  };
  struct Crash {
    // The two requests that were sent last, the later one first.
    std::vector<Sent> last;
    base::TimePoint known_at{};
  };

  // By run.
  std::map<std::string, Crash> crashes_;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_CRASH_ORDER_H_
