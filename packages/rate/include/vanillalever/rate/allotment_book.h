#ifndef VANILLALEVER_RATE_ALLOTMENT_BOOK_H_
#define VANILLALEVER_RATE_ALLOTMENT_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/rate/shared_rate.h"

namespace vanillalever::rate {

// Settings of AllotmentBook.
struct AllotmentSettings {
  // Sliding window over which allotments are judged.
  base::Duration window = base::seconds(5);
  // What may run in a window beyond an allotment: a fraction of it, and a
  // number of requests.
  double excess = 0.1;
  double slack = 20;
  // Part of that which adds to the burst, less what is sent at the
  // organisation's rate in `unknown`, so that organisations with a low rate can
  // run a few programs at once. The rest is kept for requests that the gateways
  // do not know of in time.
  double usable = 1.0 / 3;
  base::Duration unknown = base::milliseconds(500);
  // A gateway that has sent no message for this long counts as out of contact:
  // two of its complete messages are lost or late.
  base::Duration silence = base::milliseconds(700);
  // Complete messages repeat a gateway's totals for this long after its last
  // request: at least three of them do.
  base::Duration repeated = base::milliseconds(1000);
  // The same while a gateway is out of contact, and shortly after: at least as
  // long as a partition may last.
  base::Duration repeated_apart = base::seconds(15);
  // After its start or a pause a process does not rely on the messages that
  // have arrived; by then a complete one of each gateway has.
  base::Duration resumption = base::milliseconds(400);
};

// Allotment of one organisation.
struct AllotmentLimit {
  std::string organisation;
  // Requests a second of all gateways together, and the number beyond that rate
  // at once. A rate of zero is no limit.
  double per_second = 0;
  double burst = 0;
};

// What a gateway announces about its requests of one organisation.
struct AllotmentUse {
  // Hash of the organisation's name.
  std::uint32_t organisation = 0;
  RequestTotals totals;
  // Requests taken since the last announcement.
  std::uint32_t recent = 0;
};

// The gateways that may use the allotments.
struct GatewayReach {
  // Fraction of them that is in contact with this one, itself included; zero if
  // the others are not known yet.
  double share = 0;
  // Number of them, this one included.
  std::size_t gateways = 1;
};

// Request over its organisation's allotment.
struct AllotmentRefusal {
  // Time after which the caller should come back.
  base::Duration retry_after{0};
  // First one after a while.
  bool begins = false;
};

// An organisation that asked for more than its allotment, and no longer does.
struct AllotmentEpisode {
  std::string organisation;
  // Requests of this gateway in the episode.
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;
  base::Duration lasted{0};
};

// Allotments of the organisations, kept by all gateways together without a
// coordinator: each counts its own requests and those that the others announce.
// Performs no I/O. Not thread-safe.
class AllotmentBook {
 public:
  AllotmentBook(AllotmentSettings settings, std::uint64_t seed);

  // Sets the allotments; those of organisations that are not listed end. One
  // that is listed again within the window goes on with what it has used. At
  // the first call no organisation has credit: a process that replaces another
  // one does not know what that has used.
  void SetLimits(const std::vector<AllotmentLimit>& limits,
                 base::TimePoint now);
  // Call regularly, more often than AllotmentSettings::silence.
  void SetReach(const GatewayReach& reach, base::TimePoint now);

  // Counts a request of the organisation, or refuses it.
  std::optional<AllotmentRefusal> Take(const std::string& organisation,
                                       base::TimePoint now);
  // A request that Take() has counted has not run, and will not.
  void Return(const std::string& organisation);
  // Whether the organisation has a limit.
  bool limits(const std::string& organisation) const;
  const GatewayReach& reach() const { return reach_; }
  bool empty() const { return entries_.empty(); }

  // A message of another gateway has arrived.
  void OnPeerMessage(std::uint64_t peer, base::TimePoint now);
  // Another gateway has announced its use, directly or through a relay.
  void OnPeerUse(std::uint64_t peer,
                 const AllotmentUse& use,
                 base::TimePoint now);
  // Forgets gateways that are out of contact for long. Call now and then.
  void RemoveSilentPeers(base::TimePoint now);
  // Forgets allotments that ended a window ago: what they used is not judged
  // any more. Call now and then.
  void RemoveEnded(base::TimePoint now);

  // What has changed since the last call.
  std::vector<AllotmentUse> TakeChanges();
  // What a complete message repeats.
  std::vector<AllotmentUse> Repeated(base::TimePoint now) const;

  // Episodes that have ended since the last call.
  std::vector<AllotmentEpisode> TakeEnded(base::TimePoint now);

 private:
  struct Entry {
    std::string organisation;
    std::uint32_t hash = 0;
    double per_second = 0;
    // Set while the configuration does not name it: it is not limited then, but
    // what it uses still counts.
    std::optional<base::TimePoint> ended_at;
    SharedRate rate;
    base::TimePoint last_taken_at{};
    // Requests taken since the last announcement.
    std::uint32_t unannounced = 0;
    // Time until which refused callers have been told to come back.
    base::TimePoint returns_until{};
    // Requests of this gateway, and of all, in the recent past.
    double own_recent = 0;
    double all_recent = 0;
    base::TimePoint decayed_at{};
    // Set while the organisation asks for more than its allotment.
    std::optional<base::TimePoint> over_since;
    base::TimePoint last_refused_at{};
    std::uint64_t episode_taken = 0;
    std::uint64_t episode_refused = 0;
  };
  struct Peer {
    // Last message of it, and last announcement, maybe through a relay.
    base::TimePoint last_message_at{};
    base::TimePoint last_use_at{};
    // Until then its totals tell of requests out of contact.
    base::TimePoint interrupted_until{};
  };

  RateLimit Limit(const AllotmentLimit& limit) const;
  void AddEntry(const AllotmentLimit& limit, Entry& entry, base::TimePoint now);
  AllotmentRefusal Refuse(Entry& entry, base::TimePoint now);
  void CountRecent(Entry& entry, double own, double all, base::TimePoint now);
  static AllotmentUse Use(const Entry& entry);

  AllotmentSettings settings_;
  base::Random random_;
  bool limited_before_ = false;
  GatewayReach reach_;
  base::TimePoint reach_set_at_{};
  // Until then this gateway does not rely on the messages of others.
  base::TimePoint resuming_until_{};
  // Until then complete messages repeat older totals too.
  base::TimePoint apart_until_{};
  std::unordered_map<std::string, Entry> entries_;
  // Organisations by hash; those with the same hash are counted together.
  std::unordered_multimap<std::uint32_t, Entry*> by_hash_;
  std::set<std::string> changed_;
  std::unordered_map<std::uint64_t, Peer> peers_;
};

}  // namespace vanillalever::rate

#endif  // VANILLALEVER_RATE_ALLOTMENT_BOOK_H_
