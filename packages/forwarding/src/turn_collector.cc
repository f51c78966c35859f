#include "vanillalever/forwarding/turn_collector.h"

#include <algorithm>
#include <map>
#include <utility>

#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/turn_rows.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr milliseconds kAssignInterval{500};
// A part is listed once this gateway has been responsible for this long: just
// after a start the gateways do not know each other, and each takes itself for
// the only one.
constexpr milliseconds kSettleTime{2000};
// Changes are read this many times in the shortest retention time, so that
// records are deleted soon after they expire,
constexpr int kReadsPerRetention = 8;
constexpr milliseconds kMinInterval{250};
// and well within the history of the store, which is some 20 s.
constexpr milliseconds kMaxInterval{8000};
constexpr milliseconds kRetryDelay{1000};
// Largest number of records of one part that are deleted at a time.
constexpr std::size_t kMaxDeletes = 100;
// A response with this many changes may not hold all that there are: the store
// returns as many rows of a listing at most.
constexpr std::size_t kFullResponse = 500;

}  // namespace

TurnCollector::TurnCollector(const LoopTimer& timer,
                             SharedTable& table,
                             Responsible responsible)
    : timer_(timer),
      table_(table),
      responsible_(std::move(responsible)),
      parts_(conversation::kTurnIndexParts) {
  for (std::size_t i = 0; i < parts_.size(); ++i)
    parts_[i].number = i;
}

void TurnCollector::ApplyConfig(const RouteConfig& config) {
  interval_.reset();
  milliseconds longest{0};
  for (const Route& route : config.routes) {
    if (!route.stateful)
      continue;
    base::Duration interval = std::clamp<base::Duration>(
        route.retention / kReadsPerRetention, kMinInterval, kMaxInterval);
    interval_ = std::min(interval_.value_or(interval), interval);
    longest = std::max(longest, route.timeout);
  }
  longest_turn_ = longest;
  for (Part& part : parts_)
    part.index.SetLongestTurn(longest_turn_);
}

void TurnCollector::Tick() {
  auto now = timer_.now();
  if (now >= next_assignment_) {
    next_assignment_ = now + kAssignInterval;
    AssignParts();
  }
  for (Part& part : parts_) {
    if (!part.watched || part.call_open || now < part.next_call)
      continue;
    if (part.unlisted > 0)
      ListPartition(part);
    else
      ReadChanges(part);
  }
}

void TurnCollector::AssignParts() {
  auto now = timer_.now();
  for (Part& part : parts_) {
    // Records may be left of routes that were stateful.
    bool needed = interval_ || part.index.size() > 0;
    std::optional<bool> responsible = false;
    if (needed)
      responsible = responsible_(TurnIndexTable(part.number));
    if (!responsible)
      continue;
    if (!*responsible) {
      part.responsible_since.reset();
      Unwatch(part);
      continue;
    }
    if (!part.responsible_since)
      part.responsible_since = now;
    if (now - *part.responsible_since >= kSettleTime)
      Watch(part);
  }
}

void TurnCollector::Watch(Part& part) {
  if (std::exchange(part.watched, true))
    return;
  part.index = {};
  part.index.SetLongestTurn(longest_turn_);
  StartListing(part);
}

void TurnCollector::Unwatch(Part& part) {
  if (!std::exchange(part.watched, false))
    return;
  ++part.generation;
  base::LogEvent(base::LogLevel::kInfo, "turn_index_left",
                 {{"table", TurnIndexTable(part.number)},
                  {"records", std::to_string(part.index.size())}});
  part.index = {};
}

void TurnCollector::StartListing(Part& part) {
  ++part.generation;
  part.call_open = false;
  part.unlisted = kTablePartitions;
  part.version = 0;
  part.known_until.reset();
  part.index.BeginListing();
  part.next_call = timer_.now();
}

void TurnCollector::ListPartition(Part& part) {
  part.call_open = true;
  std::string partition = std::to_string(part.unlisted - 1);
  table_.List(
      TurnIndexTable(part.number), partition,
      [this, &part, generation = part.generation](const ReadResult& result) {
        if (generation != part.generation)
          return;
        part.call_open = false;
        if (result.outcome != StoreOutcome::kDone) {
          part.next_call = timer_.now() + kRetryDelay;
          return;
        }
        // Changes that a later partition already shows are applied again.
        if (part.version == 0)
          part.version = result.version;
        for (const TableRow& row : result.rows)
          ApplyRow(part, row);
        if (--part.unlisted > 0)
          return ListPartition(part);
        part.index.EndListing();
        base::LogEvent(base::LogLevel::kInfo, "turn_index_listed",
                       {{"table", TurnIndexTable(part.number)},
                        {"records", std::to_string(part.index.size())}});
        part.next_call = timer_.now();
      });
}

void TurnCollector::ReadChanges(Part& part) {
  part.call_open = true;
  table_.AwaitChanges(TurnIndexTable(part.number), part.version,
                      milliseconds(0),
                      [this, &part, generation = part.generation,
                       sent = timer_.now()](const ChangesResult& result) {
                        if (generation == part.generation)
                          OnChanges(part, result, sent);
                      });
}

void TurnCollector::OnChanges(Part& part,
                              const ChangesResult& result,
                              base::TimePoint sent) {
  part.call_open = false;
  if (result.history_lost)
    return StartListing(part);
  if (result.outcome != StoreOutcome::kDone) {
    part.next_call = timer_.now() + kRetryDelay;
    return;
  }
  part.version = std::max(part.version, result.version);
  for (const TableRow& row : result.rows)
    ApplyRow(part, row);
  if (result.rows.size() >= kFullResponse) {
    part.next_call = timer_.now();
    return;
  }
  part.next_call = timer_.now() + interval_.value_or(kMaxInterval);
  part.known_until = sent;
  DeleteExpired(part);
}

void TurnCollector::ApplyRow(Part& part, const TableRow& row) {
  if (row.deleted)
    return part.index.Remove(row.name.key, row.version);
  if (auto entry = conversation::DecodeTurnIndexEntry(row.value))
    return part.index.Put(row.name.key, *entry, row.version, timer_.now());
  base::LogEvent(base::LogLevel::kWarning, "turn_index_entry_malformed",
                 {{"table", row.name.table}, {"turn", row.name.key}});
}

void TurnCollector::DeleteExpired(Part& part) {
  std::map<std::string, Records> partitions;
  for (auto& record : part.index.TakeExpired(*part.known_until, kMaxDeletes)) {
    std::string partition = TurnIndexRow(part.number, record.id).partition;
    partitions[std::move(partition)].push_back(std::move(record));
  }
  for (auto& [partition, records] : partitions) {
    Records batch;
    std::size_t rows = 0;
    for (auto& record : records) {
      // The rows of the record and its entry.
      rows += record.rows + 1;
      if (!batch.empty() && rows > SharedTable::kMaxWrites) {
        Delete(part, std::exchange(batch, {}));
        rows = record.rows + 1;
      }
      batch.push_back(std::move(record));
    }
    Delete(part, std::move(batch));
  }
}

void TurnCollector::Delete(Part& part, Records records) {
  std::vector<TableWrite> deletes;
  for (const auto& record : records) {
    for (std::size_t i = 0; i < record.rows; ++i)
      deletes.push_back({RecordRowName(kTurnTable, record.id, i),
                         record.version, std::nullopt});
    deletes.push_back(
        {TurnIndexRow(part.number, record.id), record.version, std::nullopt});
  }
  table_.Transact(
      std::move(deletes),
      [this, &part, generation = part.generation,
       records = std::move(records)](const TransactionResult& result) {
        if (generation == part.generation)
          OnDeleted(part, records, result);
      });
}

void TurnCollector::OnDeleted(Part& part,
                              const Records& records,
                              const TransactionResult& result) {
  if (result.outcome == StoreOutcome::kDone) {
    for (const auto& record : records)
      part.index.Remove(record.id, result.version);
    // Now the turns before them may be deleted as well.
    return DeleteExpired(part);
  }
  if (result.outcome != StoreOutcome::kConflict) {
    for (const auto& record : records)
      OnDeleteFailed(part, record.id, result.reason);
    return;
  }
  if (records.size() == 1)
    return DeletePresent(part, records.front().id, result.current);
  for (const auto& record : records)
    Delete(part, {record});
}

void TurnCollector::DeletePresent(Part& part,
                                  const std::string& id,
                                  const std::vector<TableRow>& present) {
  const std::string index_table = TurnIndexTable(part.number);
  auto entry = std::find_if(present.begin(), present.end(),
                            [&index_table](const TableRow& row) {
                              return row.name.table == index_table;
                            });
  // Another gateway has deleted all; the changes will show it.
  if (entry == present.end())
    return part.index.OnDeleteFailed(id, timer_.now());
  std::vector<TableWrite> deletes;
  for (const TableRow& row : present) {
    // Gateways of earlier releases write records again that they go on with,
    // and delete those themselves.
    if (row.version <= entry->version)
      deletes.push_back({row.name, row.version, std::nullopt});
  }
  table_.Transact(std::move(deletes),
                  [this, &part, generation = part.generation,
                   id](const TransactionResult& result) {
                    if (generation != part.generation)
                      return;
                    if (result.outcome != StoreOutcome::kDone)
                      return OnDeleteFailed(part, id, result.reason);
                    part.index.Remove(id, result.version);
                    DeleteExpired(part);
                  });
}

void TurnCollector::OnDeleteFailed(Part& part,
                                   const std::string& id,
                                   const std::string& reason) {
  base::LogEvent(base::LogLevel::kWarning, "turn_delete_failed",
                 {{"turn", id}, {"reason", reason}});
  part.index.OnDeleteFailed(id, timer_.now());
}

std::size_t TurnCollector::records() const {
  std::size_t records = 0;
  for (const Part& part : parts_)
    records += part.index.size();
  return records;
}

}  // namespace vanillalever::forwarding
