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

struct StrikeSettings {
  // Strikes after which a request is quarantined even if it never crashed a
  // server alone.
  std::size_t quarantine_strikes = 3;
  // Time without a change after which a row is deleted, quarantined or not.
  base::milliseconds expiry{std::chrono::hours(24)};
  // Time without a change after which the permission to run alone can be
  // acquired again: the entry that held it is assumed to have ended. Must
  // exceed the longest call.
  base::milliseconds run_alone_timeout{std::chrono::minutes(15)};
};

// How a request may run.
enum class StrikeVerdict {
  kNormal,       // no strikes
  kRunAlone,     // suspect: AcquireRunAlone(), no other work on that server
  kWait,         // suspect; another attempt is running it alone
  kQuarantined,  // refuse with an error that names the reason
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
  // Version that the row must have; zero if it must not exist.
  std::uint64_t expected_version = 0;
  // New value; nullopt deletes the row.
  std::optional<std::string> value;
};

// Strike row as read from the platform's table.
struct StrikeRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

// What is known of one request's crashes.
struct StrikeSummary {
  // Crashes during which it was running.
  std::set<std::string> crashes;
  bool quarantined = false;
  // When the last crash became known.
  base::TimePoint changed_at{};
};

// One entry's view of the strikes, merged with the rows in the platform's
// table. Reports take effect locally at once, so that they also apply while the
// platform is unavailable, and are written back as conditional writes.
// Thread-safe.
//
// Rows hold no timestamp: like a lease, a row expires when this process has
// seen it unchanged for the whole expiry time on its own clock.
class StrikeTable {
 public:
  explicit StrikeTable(const StrikeSettings& settings);

  // Returns how the request may run. After kRunAlone the caller must succeed in
  // AcquireRunAlone() before dispatch.
  StrikeVerdict Evaluate(std::string_view fingerprint,
                         base::TimePoint now) const;

  // Records that the server of the sidecar incarnation `crash` crashed while
  // these requests were running. A request that ran alone is quarantined;
  // others become suspects, or are quarantined after the configured number of
  // strikes. Repeated reports of the same crash have no effect.
  void RecordCrash(const std::string& crash,
                   const std::vector<std::string>& running,
                   base::TimePoint now);

  // As RecordCrash() for a single request, when each running request reports
  // the crash separately. `alone`: no other request was running.
  void RecordStrike(const std::string& crash,
                    const std::string& fingerprint,
                    bool alone,
                    base::TimePoint now);

  // As RecordStrike(), for a strike that another process saw and stores itself:
  // it is not written from here.
  void RecordReported(const std::string& crash,
                      const std::string& fingerprint,
                      base::TimePoint now);

  // Records that the request completed without a crash, which clears a suspect.
  // A quarantined request stays quarantined until its row expires.
  void RecordCompletion(std::string_view fingerprint, base::TimePoint now);

  // Acquires the permission to run a suspect alone on `server`; returns false
  // unless Evaluate() returns kRunAlone. The caller must wait for
  // run_alone_durable() before dispatch.
  bool AcquireRunAlone(std::string_view fingerprint,
                       const std::string& work_token,
                       const std::string& server,
                       base::TimePoint now);
  // Whether the stored row grants the permission to this attempt.
  bool run_alone_durable(std::string_view fingerprint,
                         std::string_view work_token) const;
  // Releases the permission of an attempt that ended without completing or
  // crashing, or that did not run.
  void ReleaseRunAlone(std::string_view fingerprint,
                       std::string_view work_token,
                       base::TimePoint now);

  StrikeSummary Summarize(std::string_view fingerprint) const;

  // Marks expired records for deletion.
  void Expire(base::TimePoint now);

  // Returns up to `limit` pending writes, ordered by fingerprint. Each is in
  // progress until OnWriteApplied() or OnWriteConflict().
  std::vector<StrikeChange> TakeChanges(std::size_t limit);
  // The write of this fingerprint was applied; the row now has `version`.
  void OnWriteApplied(std::string_view fingerprint,
                      std::uint64_t version,
                      base::TimePoint now);
  // The write was not applied, or it is unknown whether it was: it is pending
  // again. If it was applied after all, the next one meets a conflict.
  void OnWriteFailed(std::string_view fingerprint);
  // The write was rejected because the row has another version. `row` is the
  // row as read back, nullopt if absent. The merged record is written again if
  // it differs from the row.
  void OnWriteConflict(std::string_view fingerprint,
                       const std::optional<StrikeRow>& row,
                       base::TimePoint now);

  // Merges a listing of all rows under StrikeCodec::kPrefix that was requested
  // at `requested_at`. Records that are not listed are dropped unless they have
  // unwritten changes. Records written since the request are left unchanged,
  // because the listing may be older than the write. Skips malformed rows and
  // returns their number.
  std::size_t MergeListing(const std::vector<StrikeRow>& rows,
                           base::TimePoint requested_at,
                           base::TimePoint now);

  // Fingerprints with a record, including quarantined ones.
  std::size_t size() const;
  // Quarantined fingerprints.
  std::size_t quarantined() const;

 private:
  struct Entry {
    StrikeRecord record;
    // Version of the row as last seen; zero if absent.
    std::uint64_t version = 0;
    // When this process first saw that version or last changed the record.
    base::TimePoint changed_at;
    // When a write was last applied.
    base::TimePoint applied_at;
    // The record differs from the row.
    bool dirty = false;
    // A write is in progress; `dirty` then stands for later changes.
    bool writing = false;
    // The write in progress deletes the row.
    bool deleting = false;
    // The record no longer counts and its row is to be deleted.
    bool cleared = false;
    // Crashes cleared by a completion; merging an older row must not restore
    // them.
    std::set<std::string> cleared_crashes;
    // Work token in the row's permission to run alone.
    std::string durable_run_alone_token;
    // The same in the write in progress.
    std::string writing_run_alone_token;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // Returns the entry unless it is absent or cleared, else null.
  Entry* FindActive(std::string_view fingerprint);
  const Entry* FindActive(std::string_view fingerprint) const;
  StrikeVerdict EvaluateEntry(const Entry& entry, base::TimePoint now) const;
  void AddStrike(Entry& entry,
                 const std::string& crash,
                 bool alone,
                 base::TimePoint now) const;
  // Replaces the record by a row as read back or listed, keeping local changes
  // that are not in the row.
  static void Merge(Entry& entry,
                    const StrikeRecord& row,
                    std::uint64_t version,
                    base::TimePoint now);
  // Merges the absence of the row.
  static void MergeAbsent(Entry& entry);
  // Removes the entry if there is neither a row nor anything to store.
  void EraseIfEmpty(Entries::iterator entry);

  const StrikeSettings settings_;
  mutable std::mutex mutex_;
  // Keyed by fingerprint.
  Entries entries_;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_STRIKE_TABLE_H_
