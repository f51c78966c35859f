#ifndef VANILLALEVER_MEMBERSHIP_LEASE_OBSERVER_H_
#define VANILLALEVER_MEMBERSHIP_LEASE_OBSERVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/membership/lease_settings.h"

namespace vanillalever::membership {

// What an entry's own row says about it.
enum class EntryState {
  kActive,   // serves and takes shards
  kLeaving,  // hands its shards over and takes none
  kFenced,   // ended by another entry, or by itself after its hand-over
};

inline constexpr base::NameTable<EntryState, 3> kEntryStateNames({
    "active",
    "leaving",
    "fenced",
});

// Lease row of one entry (`entry/<incarnation>`).
struct EntryRow {
  std::string incarnation;
  // Address for entry-to-entry messages, "ip:port".
  std::string address;
  std::string data_centre;
  EntryState state = EntryState::kActive;
  // Version of the row in the platform's table; every renewal raises it.
  std::uint64_t version = 0;
};

// An observer's judgement of another entry.
enum class LeaseStatus {
  kLive,     // the row changed within the term, or was not watched long enough
  kExpired,  // unchanged for the whole term and the margin: fence, then take
  kFenced,   // the row is fenced: its shards may be taken
  kAbsent,   // no such row: create it as fenced (version 0), then take
};

// Judges the lease rows of the other entries on this process's monotonic
// clock. Not thread-safe.
class LeaseObserver {
 public:
  explicit LeaseObserver(LeaseSettings settings);

  // A read of all entry rows succeeded; `sent` is when it was sent, `now` when
  // its response arrived. Rows that it does not hold are forgotten. A response
  // that arrives after that of a later read is ignored.
  void OnReadSucceeded(base::TimePoint sent,
                       base::TimePoint now,
                       const std::vector<EntryRow>& rows);

  // A read failed or timed out. The time up to the next successful read does
  // not count as observed unchanged.
  void OnReadFailed();

  // Whether any read has succeeded yet; before that every status is unknown
  // and no entry may be taken over.
  bool ready() const { return ready_; }

  // Judgement as of the latest successful read.
  LeaseStatus status(const std::string& incarnation) const;

  // The row as last read, or null.
  const EntryRow* Find(const std::string& incarnation) const;

  // Rows that are live and active, in order of incarnation.
  std::vector<EntryRow> active() const;

  // Incarnations that are expired, in order.
  std::vector<std::string> expired() const;

 private:
  struct Watch {
    EntryRow row;
    // How long this version was observed unchanged.
    base::Duration unchanged{0};
  };

  LeaseStatus Judge(const Watch& watch) const;

  LeaseSettings settings_;
  bool ready_ = false;
  // Whether a read failed since the last one that succeeded.
  bool failed_since_ = false;
  // Send and arrival time of the latest successful read.
  base::TimePoint last_sent_;
  base::TimePoint last_arrived_;
  std::map<std::string, Watch> watches_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_LEASE_OBSERVER_H_
