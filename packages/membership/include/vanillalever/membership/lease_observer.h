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

// State that an entry records in its lease row.
enum class EntryState {
  kActive,   // serves and takes over shards
  kLeaving,  // hands over its shards and takes none
  kFenced,   // ended by another entry, or by itself after the handover
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

// Status of another entry's lease, as determined by an observer.
enum class LeaseStatus {
  kLive,     // changed within the term, or not observed for long enough
  kExpired,  // unchanged for term plus margin: fence it, then take its shards
  kFenced,   // fenced: its shards may be taken
  kAbsent,   // no row: create it as fenced (version 0), then take its shards
};

// Determines which leases of other entries have expired, by the monotonic clock
// of this process. Not thread-safe.
class LeaseObserver {
 public:
  explicit LeaseObserver(LeaseSettings settings);

  // Applies a successful read of all entry rows, sent at `sent_at` and answered
  // at `now`. Rows missing from it are removed. A response that arrives after
  // that of a later read is ignored.
  void OnReadSucceeded(base::TimePoint sent_at,
                       base::TimePoint now,
                       const std::vector<EntryRow>& rows);

  // Records that a read failed or timed out. The time until the next successful
  // read does not count as observed.
  void OnReadFailed();

  // Whether any read has succeeded. Until then no status is known and no shard
  // may be taken over.
  bool ready() const { return ready_; }

  // Status as of the latest successful read.
  LeaseStatus status(const std::string& incarnation) const;

  // The row as last read, or null if there is none.
  const EntryRow* Find(const std::string& incarnation) const;

  // Rows of live and active entries, ordered by incarnation.
  std::vector<EntryRow> active() const;

  // Incarnations whose leases have expired, in ascending order.
  std::vector<std::string> expired() const;

 private:
  struct ObservedRow {
    EntryRow row;
    // How long this version of the row has been observed.
    base::Duration unchanged_for{0};
  };

  LeaseStatus ComputeStatus(const ObservedRow& observed) const;

  LeaseSettings settings_;
  bool ready_ = false;
  // Whether a read has failed since the last successful one.
  bool read_failed_ = false;
  // When the latest successful read was sent and answered.
  base::TimePoint last_read_sent_at_;
  base::TimePoint last_read_received_at_;
  std::map<std::string, ObservedRow> observed_rows_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_LEASE_OBSERVER_H_
