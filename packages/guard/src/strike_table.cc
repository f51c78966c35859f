#include "vanillalever/guard/strike_table.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/error.h"
#include "vanillalever/guard/strike_codec.h"

namespace vanillalever::guard {

namespace {

void ClearRunAlone(StrikeRecord& record) {
  record.alone_token.clear();
  record.alone_server.clear();
}

}  // namespace

StrikeTable::StrikeTable(const StrikeSettings& settings)
    : settings_(settings) {}

StrikeVerdict StrikeTable::Evaluate(std::string_view fingerprint,
                                    base::TimePoint now) const {
  std::lock_guard lock(mutex_);
  const Entry* entry = FindActive(fingerprint);
  return entry == nullptr ? StrikeVerdict::kNormal : EvaluateEntry(*entry, now);
}

StrikeVerdict StrikeTable::EvaluateEntry(const Entry& entry,
                                         base::TimePoint now) const {
  if (entry.record.quarantined)
    return StrikeVerdict::kQuarantined;
  bool available = entry.record.alone_token.empty() ||
                   now - entry.changed_at >= settings_.run_alone_timeout;
  return available ? StrikeVerdict::kRunAlone : StrikeVerdict::kWait;
}

void StrikeTable::RecordCrash(const std::string& crash,
                              const std::vector<std::string>& running,
                              base::TimePoint now) {
  std::set<std::string> fingerprints(running.begin(), running.end());
  bool alone = fingerprints.size() == 1;
  std::lock_guard lock(mutex_);
  for (const std::string& fingerprint : fingerprints)
    AddStrike(entries_[fingerprint], crash, alone, now);
}

void StrikeTable::RecordStrike(const std::string& crash,
                               const std::string& fingerprint,
                               bool alone,
                               base::TimePoint now) {
  std::lock_guard lock(mutex_);
  AddStrike(entries_[fingerprint], crash, alone, now);
}

void StrikeTable::RecordReported(const std::string& crash,
                                 const std::string& fingerprint,
                                 base::TimePoint now) {
  std::lock_guard lock(mutex_);
  Entry& entry = entries_[fingerprint];
  bool dirty = entry.dirty;
  AddStrike(entry, crash, false, now);
  entry.dirty = dirty;
  // A listing that was requested earlier may lack the row.
  entry.applied_at = now;
}

StrikeSummary StrikeTable::Summarize(std::string_view fingerprint) const {
  std::lock_guard lock(mutex_);
  const Entry* entry = FindActive(fingerprint);
  if (entry == nullptr)
    return {};
  return {entry->record.crashes, entry->record.quarantined, entry->changed_at};
}

void StrikeTable::AddStrike(Entry& entry,
                            const std::string& crash,
                            bool alone,
                            base::TimePoint now) const {
  StrikeRecord& record = entry.record;
  bool known =
      record.crashes.contains(crash) || entry.cleared_crashes.contains(crash);
  // Further crashes of a quarantined record are not stored, which bounds its
  // size.
  if (known || (record.quarantined && !entry.cleared))
    return;
  entry.cleared = false;
  entry.dirty = true;
  entry.changed_at = now;
  record.crashes.insert(crash);
  record.quarantined =
      alone || record.crashes.size() >= settings_.quarantine_strikes;
  if (record.quarantined)
    ClearRunAlone(record);
}

void StrikeTable::RecordCompletion(std::string_view fingerprint,
                                   base::TimePoint now) {
  std::lock_guard lock(mutex_);
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.record.quarantined)
    return;
  Entry& entry = found->second;
  entry.cleared_crashes.merge(entry.record.crashes);
  entry.record = StrikeRecord();
  entry.cleared = true;
  entry.dirty = true;
  entry.changed_at = now;
  EraseIfEmpty(found);
}

bool StrikeTable::AcquireRunAlone(std::string_view fingerprint,
                                  const std::string& work_token,
                                  const std::string& server,
                                  base::TimePoint now) {
  std::lock_guard lock(mutex_);
  Entry* entry = FindActive(fingerprint);
  if (entry == nullptr ||
      EvaluateEntry(*entry, now) != StrikeVerdict::kRunAlone)
    return false;
  entry->record.alone_token = work_token;
  entry->record.alone_server = server;
  entry->dirty = true;
  entry->changed_at = now;
  return true;
}

bool StrikeTable::run_alone_durable(std::string_view fingerprint,
                                    std::string_view work_token) const {
  std::lock_guard lock(mutex_);
  const Entry* entry = FindActive(fingerprint);
  return entry != nullptr && entry->durable_run_alone_token == work_token &&
         entry->record.alone_token == work_token;
}

void StrikeTable::ReleaseRunAlone(std::string_view fingerprint,
                                  std::string_view work_token,
                                  base::TimePoint now) {
  std::lock_guard lock(mutex_);
  Entry* entry = FindActive(fingerprint);
  if (entry == nullptr || entry->record.alone_token != work_token)
    return;
  ClearRunAlone(entry->record);
  entry->dirty = true;
  entry->changed_at = now;
}

void StrikeTable::Expire(base::TimePoint now) {
  std::lock_guard lock(mutex_);
  for (auto next = entries_.begin(); next != entries_.end();) {
    auto entry = next++;
    if (entry->second.cleared ||
        now - entry->second.changed_at < settings_.expiry)
      continue;
    entry->second.record = StrikeRecord();
    entry->second.cleared = true;
    entry->second.dirty = true;
    EraseIfEmpty(entry);
  }
}

std::vector<StrikeChange> StrikeTable::TakeChanges(std::size_t limit) {
  std::lock_guard lock(mutex_);
  std::vector<StrikeChange> changes;
  for (auto& [fingerprint, entry] : entries_) {
    if (changes.size() == limit)
      break;
    if (!entry.dirty || entry.writing)
      continue;
    StrikeChange change;
    change.fingerprint = fingerprint;
    change.key = StrikeCodec::Key(fingerprint);
    change.expected_version = entry.version;
    if (!entry.cleared)
      change.value = StrikeCodec::Encode(entry.record);
    entry.dirty = false;
    entry.writing = true;
    entry.deleting = entry.cleared;
    entry.writing_run_alone_token = entry.record.alone_token;
    changes.push_back(std::move(change));
  }
  return changes;
}

void StrikeTable::OnWriteApplied(std::string_view fingerprint,
                                 std::uint64_t version,
                                 base::TimePoint now) {
  std::lock_guard lock(mutex_);
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !found->second.writing)
    return;
  Entry& entry = found->second;
  entry.writing = false;
  entry.version = entry.deleting ? 0 : version;
  entry.durable_run_alone_token = entry.writing_run_alone_token;
  entry.changed_at = now;
  entry.applied_at = now;
  EraseIfEmpty(found);
}

void StrikeTable::OnWriteFailed(std::string_view fingerprint) {
  std::lock_guard lock(mutex_);
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !found->second.writing)
    return;
  found->second.writing = false;
  found->second.dirty = true;
}

void StrikeTable::OnWriteConflict(std::string_view fingerprint,
                                  const std::optional<StrikeRow>& row,
                                  base::TimePoint now) {
  std::lock_guard lock(mutex_);
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !found->second.writing)
    return;
  Entry& entry = found->second;
  entry.writing = false;
  entry.dirty = true;
  if (row) {
    try {
      StrikeRecord record = StrikeCodec::Decode(row->key, row->value);
      Merge(entry, record, row->version, now);
    } catch (const base::Error&) {
      // The next write overwrites the malformed row.
      entry.version = row->version;
    }
  } else {
    MergeAbsent(entry);
  }
  entry.applied_at = now;
  EraseIfEmpty(found);
}

std::size_t StrikeTable::MergeListing(const std::vector<StrikeRow>& rows,
                                      base::TimePoint requested_at,
                                      base::TimePoint now) {
  std::lock_guard lock(mutex_);
  std::size_t malformed = 0;
  std::set<std::string, std::less<>> listed;
  for (const StrikeRow& row : rows) {
    try {
      std::string fingerprint = StrikeCodec::ParseKey(row.key);
      listed.insert(fingerprint);
      StrikeRecord record = StrikeCodec::Decode(row.key, row.value);
      Entry& entry = entries_[fingerprint];
      bool newer = entry.applied_at < requested_at;
      if (newer && !entry.writing && entry.version != row.version)
        Merge(entry, record, row.version, now);
    } catch (const base::Error&) {
      ++malformed;
    }
  }
  for (auto next = entries_.begin(); next != entries_.end();) {
    auto found = next++;
    Entry& entry = found->second;
    bool absent = !listed.contains(found->first) &&
                  entry.applied_at < requested_at && !entry.writing;
    if (!absent)
      continue;
    if (entry.dirty)
      MergeAbsent(entry);
    else
      entry = Entry();
    EraseIfEmpty(found);
  }
  return malformed;
}

std::size_t StrikeTable::size() const {
  std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto& [fingerprint, entry] : entries_)
    count += entry.cleared ? 0 : 1;
  return count;
}

std::size_t StrikeTable::quarantined() const {
  std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto& [fingerprint, entry] : entries_)
    count += entry.record.quarantined ? 1 : 0;
  return count;
}

StrikeTable::Entry* StrikeTable::FindActive(std::string_view fingerprint) {
  auto found = entries_.find(fingerprint);
  bool active = found != entries_.end() && !found->second.cleared;
  return active ? &found->second : nullptr;
}

const StrikeTable::Entry* StrikeTable::FindActive(
    std::string_view fingerprint) const {
  return const_cast<StrikeTable*>(this)->FindActive(fingerprint);
}

void StrikeTable::Merge(Entry& entry,
                        const StrikeRecord& row,
                        std::uint64_t version,
                        base::TimePoint now) {
  StrikeRecord merged = row;
  if (!row.quarantined) {
    for (const std::string& crash : entry.cleared_crashes)
      merged.crashes.erase(crash);
  }
  if (entry.dirty) {
    const StrikeRecord& local = entry.record;
    merged.crashes.insert(local.crashes.begin(), local.crashes.end());
    merged.quarantined = row.quarantined || local.quarantined;
    // The row's permission to run alone takes precedence, unless this process
    // held it and has released it meanwhile.
    bool released = local.alone_token.empty() &&
                    !entry.durable_run_alone_token.empty() &&
                    row.alone_token == entry.durable_run_alone_token;
    if (row.alone_token.empty() || released) {
      merged.alone_token = local.alone_token;
      merged.alone_server = local.alone_server;
    }
  }
  if (merged.quarantined)
    ClearRunAlone(merged);
  entry.cleared = merged.crashes.empty() && !merged.quarantined;
  if (entry.cleared)
    merged = StrikeRecord();
  entry.dirty = entry.cleared || merged != row;
  entry.durable_run_alone_token = row.alone_token;
  entry.record = std::move(merged);
  entry.version = version;
  entry.changed_at = now;
}

void StrikeTable::MergeAbsent(Entry& entry) {
  entry.version = 0;
  entry.durable_run_alone_token.clear();
  entry.dirty = !entry.cleared;
}

void StrikeTable::EraseIfEmpty(Entries::iterator entry) {
  const Entry& value = entry->second;
  bool not_stored = value.version == 0;
  bool nothing_to_store = value.cleared || value.record.crashes.empty();
  if (not_stored && nothing_to_store && !value.writing)
    entries_.erase(entry);
}

}  // namespace vanillalever::guard
