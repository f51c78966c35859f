#include "vanillalever/forwarding/strike_store.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

constexpr const char* kTable = "strikes";
// All rows are of one partition, so that one call writes many of them.
constexpr const char* kPartition = "strikes";
constexpr base::milliseconds kRetryDelay{500};
constexpr base::milliseconds kListInterval{10000};
// The same until the store has responded.
constexpr base::milliseconds kFirstListInterval{500};

guard::StrikeRow ToStrikeRow(const TableRow& row) {
  return {row.name.key, row.value, row.version};
}

}  // namespace

void StrikeStore::Flush() {
  auto now = base::TimePoint::clock::now();
  if (writing_ || now < next_write_)
    return;
  auto changes = strikes_.TakeChanges(SharedTable::kMaxWrites);
  if (changes.empty())
    return;
  writing_ = true;
  std::vector<TableWrite> writes;
  for (const guard::StrikeChange& change : changes) {
    TableWrite& write = writes.emplace_back();
    write.name = {kTable, kPartition, change.key};
    write.expected_version = change.expected_version;
    write.value = change.value;
  }
  shared_.Transact(std::move(writes), [this, changes = std::move(changes)](
                                          const TransactionResult& result) {
    writing_ = false;
    OnWritten(changes, result);
    Flush();
  });
}

void StrikeStore::OnWritten(const std::vector<guard::StrikeChange>& changes,
                            const TransactionResult& result) {
  auto now = base::TimePoint::clock::now();
  if (result.outcome == StoreOutcome::kNotDone ||
      result.outcome == StoreOutcome::kUnknown) {
    next_write_ = now + kRetryDelay;
    base::LogEvent(
        base::LogLevel::kWarning, "strikes_write_failed",
        {{"rows", std::to_string(changes.size())}, {"reason", result.reason}});
  }
  for (const guard::StrikeChange& change : changes) {
    if (result.outcome == StoreOutcome::kDone) {
      strikes_.OnWriteApplied(change.fingerprint, result.version, now);
      continue;
    }
    if (result.outcome != StoreOutcome::kConflict) {
      strikes_.OnWriteFailed(change.fingerprint);
      continue;
    }
    auto found = std::find_if(
        result.current.begin(), result.current.end(),
        [&change](const TableRow& row) { return row.name.key == change.key; });
    std::optional<guard::StrikeRow> row;
    if (found != result.current.end())
      row = ToStrikeRow(*found);
    strikes_.OnWriteConflict(change.fingerprint, row, now);
  }
}

void StrikeStore::Tick() {
  Flush();
  if (base::TimePoint::clock::now() >= next_list_)
    List();
}

void StrikeStore::List() {
  auto requested_at = base::TimePoint::clock::now();
  bool first = next_list_ == base::TimePoint{};
  next_list_ = requested_at + kFirstListInterval;
  shared_.List(
      kTable, kPartition, [this, requested_at, first](const ReadResult& read) {
        if (read.outcome != StoreOutcome::kDone)
          return;
        auto now = base::TimePoint::clock::now();
        next_list_ = now + kListInterval;
        std::vector<guard::StrikeRow> rows;
        for (const TableRow& row : read.rows)
          rows.push_back(ToStrikeRow(row));
        std::size_t malformed = strikes_.MergeListing(rows, requested_at, now);
        if (malformed > 0 || (first && !rows.empty())) {
          base::LogEvent(base::LogLevel::kInfo, "strikes_listed",
                         {{"rows", std::to_string(rows.size())},
                          {"malformed", std::to_string(malformed)}});
        }
      });
}

}  // namespace vanillalever::forwarding
