#ifndef VANILLALEVER_GUARD_STRIKE_TABLE_H_
#define VANILLALEVER_GUARD_STRIKE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/guard/strike_record.h"

namespace vanillalever::guard {

// Settings of a strike table.
struct StrikeSettings {
  // Strikes after which a request is quarantined even if it never crashed a
  // server alone.
  std::size_t quarantine_strikes = 3;
  // Time without a change after which a row is forgotten, quarantine included.
  base::milliseconds expiry{std::chrono::hours(24)};
  // Time without a change after which the permission to run alone is free
  // again, because the entry that took it has died. Must exceed the longest
  // call.
  base::milliseconds run_alone_timeout{std::chrono::minutes(15)};
};

// How a request may run.
enum class StrikeVerdict {
  kNormal,       // nothing is known against it
  kRunAlone,     // suspect: AcquireRunAlone(), and nothing else on that server
  kWait,         // suspect, and it runs alone elsewhere
  kQuarantined,  // refuse it with a clear error
};

inline constexpr base::NameTable<StrikeVerdict, 4> kStrikeVerdictNames({
    "normal",
    "run_alone",
    "wait",
    "quarantined",
});

// Conditional write of one strike row.
struct StrikeChange {
  std::string fingerprint;
  std::string key;
  // Version that the row must have; zero means that it must not exist.
  std::uint64_t expected_version = 0;
  // New value; nothing deletes the row.
  std::optional<std::string> value;
};

// Strike row as read from the table.
struct StrikeRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

// One entry's view of the strikes, merged with the rows in the platform's
// table. Reports take effect here at once, so that they hold also while the
// platform is down, and are written as conditional changes. Thread-safe.
//
// Rows carry no time: like a lease, a row expires when this process has seen it
// unchanged for the whole term on its own clock.
class StrikeTable {
 public:
  explicit StrikeTable(const StrikeSettings& settings);

  // How the request may run. kRunAlone still needs AcquireRunAlone().
  StrikeVerdict Evaluate(std::string_view fingerprint,
                         base::TimePoint now) const;

  // The server of the sidecar incarnation `crash` died while these requests
  // were running. A request that ran alone is quarantined; others become
  // suspects, or are quarantined after the configured number of strikes.
  // Repeated reports of one crash have no further effect.
  void RecordCrash(const std::string& crash,
                   const std::vector<std::string>& running,
                   base::TimePoint now);

  // As RecordCrash() for one of the requests, where the others report for
  // themselves. `alone` tells whether it was the only one that was running.
  void RecordStrike(const std::string& crash,
                    const std::string& fingerprint,
                    bool alone,
                    base::TimePoint now);

  // The request completed without a crash: a suspect is cleared. A quarantined
  // request stays quarantined until it expires.
  void RecordCompletion(std::string_view fingerprint, base::TimePoint now);

  // Asks for the permission to run a suspect alone on one server; returns false
  // if Evaluate() is not kRunAlone. Wait for run_alone_durable() before
  // dispatch.
  bool AcquireRunAlone(std::string_view fingerprint,
                       const std::string& work_token,
                       const std::string& server,
                       base::TimePoint now);
  // Whether this attempt holds the permission in the table.
  bool run_alone_durable(std::string_view fingerprint,
                         std::string_view work_token) const;
  // The attempt ended without completing or crashing, or did not run.
  void ReleaseRunAlone(std::string_view fingerprint,
                       std::string_view work_token,
                       base::TimePoint now);

  // Marks what has expired for deletion.
  void Expire(base::TimePoint now);

  // Up to `limit` changes to be written, in order of fingerprints. Each is in
  // progress until OnWriteApplied() or OnWriteConflict().
  std::vector<StrikeChange> TakeChanges(std::size_t limit);
  // The change of this fingerprint took effect with this version.
  void OnWriteApplied(std::string_view fingerprint,
                      std::uint64_t version,
                      base::TimePoint now);
  // The change did not take effect, because the row has another version: what
  // was read back, or nothing for an absent row. The merged record is due
  // again if it differs from the row.
  void OnWriteConflict(std::string_view fingerprint,
                       const std::optional<StrikeRow>& row,
                       base::TimePoint now);

  // Merges a listing of all rows under StrikeCodec::kPrefix that was requested
  // at `requested_at`. Records that are not listed are dropped unless they have
  // unwritten changes. Records written since the request are left as they are,
  // because the listing may be older. Malformed rows are skipped; returns their
  // number.
  std::size_t MergeListing(const std::vector<StrikeRow>& rows,
                           base::TimePoint requested_at,
                           base::TimePoint now);

  // Fingerprints with a record, quarantined ones among them.
  std::size_t size() const;
  std::size_t quarantined() const;

 private:
  struct Entry {
    StrikeRecord record;
    // Version of the row as last seen; zero for an absent row.
    std::uint64_t version = 0;
    // When this process first saw that version, or last changed the record.
    base::TimePoint changed_at;
    // When a write was last applied.
    base::TimePoint applied_at;
    // The record differs from the row.
    bool dirty = false;
    // A write is in progress; `dirty` then tells of later changes.
    bool writing = false;
    // The write in progress deletes the row.
    bool deleting = false;
    // The row is to be deleted, and the record no longer counts.
    bool cleared = false;
    // Crashes that a completion has cleared, so that merging an older row does
    // not bring them back.
    std::set<std::string> cleared_crashes;
    // Work token of the permission that the row holds.
    std::string durable_alone;
    // What the write in progress holds.
    std::string writing_alone;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // The entry if its record counts, else null.
  Entry* FindActive(std::string_view fingerprint);
  const Entry* FindActive(std::string_view fingerprint) const;
  StrikeVerdict EvaluateEntry(const Entry& entry, base::TimePoint now) const;
  void AddStrike(Entry& entry,
                 const std::string& crash,
                 bool alone,
                 base::TimePoint now) const;
  // Takes over a row as read back or listed, keeping local changes that it
  // lacks.
  static void Merge(Entry& entry,
                    const StrikeRecord& row,
                    std::uint64_t version,
                    base::TimePoint now);
  static void MergeAbsent(Entry& entry);
  // Removes the entry if neither it nor its row holds anything.
  void EraseIfDone(Entries::iterator entry);

  const StrikeSettings settings_;
  mutable std::mutex mutex_;
  // By fingerprint.
  Entries entries_;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_STRIKE_TABLE_H_
