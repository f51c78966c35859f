#include "vanillalever/forwarding/conversation_service.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/duration_text.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using conversation::RetentionSchedule;
using conversation::TurnPtr;

constexpr const char* kTurnTable = "turns";
constexpr milliseconds kFirstRetryDelay{15};
constexpr milliseconds kMaxRetryDelay{150};
// Assumed size of a record that is not read yet.
constexpr std::size_t kUnreadRecordBytes = 256 << 10;
// A text that is being read is in memory as encoded by the store, as a record
// and as a turn.
constexpr std::size_t kReadCopies = 3;
// The input of a turn is in memory as a turn and as the rows that are written.
constexpr std::size_t kRecordedCopies = 2;

}  // namespace

ConversationService::ConversationService(boost::asio::io_context& context,
                                         SharedTable& table,
                                         std::uint64_t seed,
                                         ConversationSettings settings)
    : context_(context),
      table_(table),
      settings_(settings),
      random_(seed),
      memory_(settings.max_turn_bytes),
      cache_(settings.cache),
      writer_(context, table, kTurnTable, random_.Next()) {}

bool ConversationService::MakeRoom(std::size_t bytes) {
  // Removing a turn that a request or a cached successor uses frees nothing.
  while (!memory_.Fits(bytes)) {
    if (!cache_.RemoveOldest())
      return false;
  }
  return true;
}

std::optional<conversation::TurnMemory::Reservation> ConversationService::Admit(
    std::size_t input_bytes) {
  std::size_t bytes = kRecordedCopies * input_bytes;
  if (!MakeRoom(bytes))
    return std::nullopt;
  return memory_.Hold(bytes);
}

void ConversationService::Find(const std::string& id,
                               base::TimePoint give_up,
                               FindCallback done) {
  auto now = base::TimePoint::clock::now();
  if (TurnPtr turn = cache_.Find(id, now))
    return done(TurnLookup::kFound, turn);
  // No record can have such an id.
  if (id.size() > kMaxIdBytes)
    return done(TurnLookup::kMissing, nullptr);
  bool started = lookups_.contains(id);
  if (!started && !MakeRoom(kUnreadRecordBytes))
    return done(TurnLookup::kNoRoom, nullptr);
  LookupPtr& lookup = lookups_[id];
  if (!started) {
    lookup = std::make_shared<Lookup>(id);
    lookup->started = now;
    lookup->room = memory_.Hold(kUnreadRecordBytes);
  }
  lookup->waiters.push_back({give_up, std::move(done)});
  if (!started)
    ReadMore(LookupPtr(lookup));
}

void ConversationService::ReadMore(const LookupPtr& lookup) {
  auto now = base::TimePoint::clock::now();
  for (const std::string& id : lookup->reader.TakeUnread(cache_, now)) {
    ++lookup->open_reads;
    ReadRecord(lookup, id);
  }
}

void ConversationService::ReadRecord(const LookupPtr& lookup,
                                     const std::string& id) {
  ReadRows(id, [this, lookup, id](const ReadResult& result) {
    OnRead(lookup, id, result);
  });
}

void ConversationService::ReadRows(
    const std::string& id,
    std::function<void(const ReadResult& result)> done) {
  table_.ReadRange(
      RecordRowRange(kTurnTable, id),
      [this, id, done = std::move(done)](const ReadResult& result) mutable {
        if (result.outcome != StoreOutcome::kDone || !result.rows.empty())
          return done(result);
        table_.ReadRange(EarlierRecordRowRange(kTurnTable, id),
                         std::move(done));
      });
}

void ConversationService::OnRead(const LookupPtr& lookup,
                                 const std::string& id,
                                 const ReadResult& result) {
  if (result.outcome != StoreOutcome::kDone)
    return RetryRead(lookup, id, result.reason);
  std::vector<std::string> rows;
  for (const TableRow& row : result.rows)
    rows.push_back(row.value);
  std::optional<conversation::TurnRecord> record;
  if (!rows.empty()) {
    if (auto encoded = conversation::JoinRows(rows))
      record = conversation::DecodeTurnRecord(*encoded);
    if (!record)
      return RetryRead(lookup, id, "the record is unreadable");
  }
  --lookup->open_reads;
  lookup->reader.OnRecord(id, std::move(record));
  if (lookup->reader.missing() == lookup->reader.id())
    return Finish(lookup, TurnLookup::kMissing, nullptr);
  if (id == lookup->reader.id() && !ReserveHistory(lookup))
    return Finish(lookup, TurnLookup::kNoRoom, nullptr);
  ReadMore(lookup);
  if (lookup->open_reads > 0)
    return;
  auto now = base::TimePoint::clock::now();
  TurnPtr turn = lookup->reader.Build(cache_, memory_, now);
  lookup->room = {};
  if (!turn) {
    // The turn is kept but not all turns before it, so the conversation cannot
    // be continued.
    base::LogEvent(
        base::LogLevel::kError, "conversation_incomplete",
        {{"turn", lookup->reader.id()}, {"missing", lookup->reader.missing()}});
    return Finish(lookup, TurnLookup::kUnavailable, nullptr);
  }
  cache_.Put(turn, now);
  Finish(lookup, TurnLookup::kFound, turn);
}

bool ConversationService::ReserveHistory(const LookupPtr& lookup) {
  // Cached turns are not read.
  auto now = base::TimePoint::clock::now();
  if (lookup->reader.PreviousIsCached(cache_, now))
    return true;
  std::uint64_t history = lookup->reader.history_bytes();
  if (history > std::numeric_limits<std::size_t>::max() / kReadCopies)
    return false;
  std::size_t bytes = kReadCopies * static_cast<std::size_t>(history);
  lookup->room = {};
  bool fits = MakeRoom(bytes);
  lookup->room = memory_.Hold(fits ? bytes : 0);
  return fits;
}

void ConversationService::RetryRead(const LookupPtr& lookup,
                                    const std::string& id,
                                    const std::string& reason) {
  auto now = base::TimePoint::clock::now();
  base::LogEvent(base::LogLevel::kWarning, "turn_read_failed",
                 {{"turn", lookup->reader.id()},
                  {"record", id},
                  {"failures", std::to_string(lookup->failures + 1)},
                  {"reason", reason}});
  auto delay = std::min(
      kMaxRetryDelay, kFirstRetryDelay * (1 << std::min(lookup->failures, 8)));
  ++lookup->failures;
  std::vector<Waiter> expired;
  auto& waiters = lookup->waiters;
  for (auto waiter = waiters.begin(); waiter != waiters.end();) {
    if (waiter->give_up > now + delay) {
      ++waiter;
      continue;
    }
    expired.push_back(std::move(*waiter));
    waiter = waiters.erase(waiter);
  }
  if (waiters.empty()) {
    if (auto found = lookups_.find(lookup->reader.id());
        found != lookups_.end() && found->second == lookup)
      lookups_.erase(found);
  } else {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait(
        [this, lookup, id, timer](boost::system::error_code error) {
          if (!error)
            ReadRecord(lookup, id);
        });
  }
  for (const Waiter& waiter : expired)
    waiter.done(TurnLookup::kUnavailable, nullptr);
}

void ConversationService::Finish(const LookupPtr& lookup,
                                 TurnLookup outcome,
                                 const TurnPtr& turn) {
  auto now = base::TimePoint::clock::now();
  base::LogEvent(base::LogLevel::kInfo, "turn_lookup",
                 {{"turn", lookup->reader.id()},
                  {"outcome", std::string(kTurnLookupNames.name(outcome))},
                  {"took_ms", Ms(now - lookup->started)}});
  if (auto found = lookups_.find(lookup->reader.id());
      found != lookups_.end() && found->second == lookup)
    lookups_.erase(found);
  for (const Waiter& waiter : std::exchange(lookup->waiters, {}))
    waiter.done(outcome, turn);
}

void ConversationService::Record(conversation::Turn recorded,
                                 base::TimePoint give_up,
                                 std::function<void(bool recorded)> done) {
  TurnPtr turn = memory_.Keep(std::move(recorded));
  auto rows = conversation::SplitIntoRows(
      conversation::EncodeTurnRecord(conversation::MakeTurnRecord(*turn)),
      settings_.max_row_bytes);
  std::size_t count = rows.size();
  std::size_t bytes = 0;
  for (const std::string& row : rows)
    bytes += row.size();
  auto room = std::make_shared<conversation::TurnMemory::Reservation>(
      memory_.Hold(bytes));
  const std::string& id = turn->id;
  writer_.Write(
      id, std::move(rows), give_up,
      [this, turn, count, room,
       done = std::move(done)](RecordWriter::Outcome outcome) {
        auto now = base::TimePoint::clock::now();
        if (outcome.recorded) {
          retention_.OnRecorded(turn, {turn->id, outcome.version, count}, now);
          cache_.Put(turn, now);
        }
        done(outcome.recorded);
      });
}

void ConversationService::Tick() {
  auto now = base::TimePoint::clock::now();
  cache_.RemoveIdle(now);
  for (const auto& record : retention_.TakeExpired(now))
    DeleteRecord(record);
  for (const auto& renewal : retention_.TakeRenewals(now))
    Renew(renewal);
}

void ConversationService::DeleteRecord(
    const RetentionSchedule::OwnedRecord& record) {
  std::vector<TableWrite> deletes;
  for (std::size_t i = 0; i < record.rows; ++i)
    deletes.push_back({RecordRowName(kTurnTable, record.id, i), record.version,
                       std::nullopt});
  table_.Transact(
      std::move(deletes), [id = record.id](const TransactionResult& result) {
        // A conflict: another gateway has taken the record over.
        if (result.outcome == StoreOutcome::kDone ||
            result.outcome == StoreOutcome::kConflict)
          return;
        base::LogEvent(base::LogLevel::kWarning, "turn_delete_failed",
                       {{"turn", id}, {"reason", result.reason}});
      });
}

void ConversationService::Renew(const RetentionSchedule::Renewal& renewal) {
  ReadRows(renewal.id, [this, renewal](const ReadResult& read) {
    OnRenewalRead(renewal, read);
  });
}

void ConversationService::OnRenewalRead(
    const RetentionSchedule::Renewal& renewal,
    const ReadResult& read) {
  if (read.outcome != StoreOutcome::kDone)
    return OnRenewalFailed(renewal.id, false, read.reason);
  auto now = base::TimePoint::clock::now();
  if (read.rows.empty()) {
    // Kept in memory it can be written anew; otherwise it is lost.
    TurnPtr turn = cache_.Find(renewal.id, now);
    base::LogEvent(
        base::LogLevel::kError, "turn_record_missing",
        {{"turn", renewal.id}, {"restored", turn ? "true" : "false"}});
    if (!turn)
      return retention_.OnLost(renewal.id);
    conversation::TurnRecord record = conversation::MakeTurnRecord(*turn);
    record.retention = std::max(record.retention, renewal.retention);
    return Rewrite(renewal.id, record, {});
  }
  std::vector<std::string> values;
  for (const TableRow& row : read.rows)
    values.push_back(row.value);
  std::optional<conversation::TurnRecord> record;
  if (auto encoded = conversation::JoinRows(values))
    record = conversation::DecodeTurnRecord(*encoded);
  if (!record)
    return OnRenewalFailed(renewal.id, false, "the record is unreadable");
  if (read.rows.front().version == renewal.version &&
      record->retention >= renewal.retention)
    return retention_.OnUnchanged(renewal.id);
  record->retention = std::max(record->retention, renewal.retention);
  Rewrite(renewal.id, *record, read.rows);
}

void ConversationService::Rewrite(const std::string& id,
                                  const conversation::TurnRecord& record,
                                  const std::vector<TableRow>& present) {
  auto values = conversation::SplitIntoRows(
      conversation::EncodeTurnRecord(record), settings_.max_row_bytes);
  std::size_t count = values.size();
  std::vector<TableWrite> writes;
  for (std::size_t i = 0; i < std::max(count, present.size()); ++i) {
    TableWrite write{RecordRowName(kTurnTable, id, i), 0, std::nullopt};
    // Rows of an earlier release are copied; their owner deletes them.
    if (i < present.size() && present[i].name.partition == write.name.partition)
      write.expected_version = present[i].version;
    if (i < count)
      write.value = std::move(values[i]);
    else if (write.expected_version == 0)
      continue;
    writes.push_back(std::move(write));
  }
  table_.Transact(
      std::move(writes), [this, id, count, retention = record.retention](
                             const TransactionResult& result) {
        if (result.outcome != StoreOutcome::kDone)
          return OnRenewalFailed(id, result.outcome == StoreOutcome::kConflict,
                                 result.reason);
        base::LogEvent(base::LogLevel::kInfo, "turn_renewed",
                       {{"turn", id},
                        {"rows", std::to_string(count)},
                        {"retention_ms", Ms(retention)}});
        retention_.OnRewritten({id, result.version, count}, retention,
                               base::TimePoint::clock::now());
      });
}

void ConversationService::OnRenewalFailed(const std::string& id,
                                          bool taken_by_other,
                                          const std::string& reason) {
  base::LogEvent(base::LogLevel::kWarning, "turn_renewal_failed",
                 {{"turn", id},
                  {"taken_by_other", taken_by_other ? "true" : "false"},
                  {"reason", reason}});
  retention_.OnRenewalFailed(id, taken_by_other, base::TimePoint::clock::now());
}

}  // namespace vanillalever::forwarding
