#include "vanillalever/forwarding/conversation_service.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/logging.h"
#include "vanillalever/conversation/turn_index.h"
#include "vanillalever/forwarding/duration_text.h"
#include "vanillalever/forwarding/turn_rows.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using conversation::TurnPtr;

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
  if (TurnPtr turn = cache_.FindKept(id, now))
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
  conversation::TurnIndexEntry entry;
  entry.previous = turn->previous ? turn->previous->id : "";
  entry.retention = turn->retention;
  entry.rows = rows.size();
  TableWrite entry_write;
  entry_write.name = TurnIndexRow(conversation::TurnIndexPart(*turn), turn->id);
  entry_write.value = conversation::EncodeTurnIndexEntry(entry);
  std::size_t bytes = 0;
  for (const std::string& row : rows)
    bytes += row.size();
  auto room = std::make_shared<conversation::TurnMemory::Reservation>(
      memory_.Hold(bytes));
  const std::string& id = turn->id;
  writer_.Write(id, std::move(rows), std::move(entry_write), give_up,
                [this, turn, room,
                 done = std::move(done)](RecordWriter::Outcome outcome) {
                  if (outcome.recorded)
                    cache_.Put(turn, base::TimePoint::clock::now());
                  done(outcome.recorded);
                });
}

void ConversationService::Tick() {
  cache_.RemoveIdle(base::TimePoint::clock::now());
}

}  // namespace vanillalever::forwarding
