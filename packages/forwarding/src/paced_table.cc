#include "vanillalever/forwarding/paced_table.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <set>
#include <utility>

namespace vanillalever::forwarding {
namespace {

// Limit of one transaction; the store's is 1 MB, and values grow by a third in
// its encoding.
constexpr std::size_t kMaxBytes = 640 << 10;

// Refused calls are made again for this long; then their owners look for
// another way.
constexpr base::milliseconds kMaxRefusedTime{500};

using RowKey = std::pair<std::string, std::string>;

RowKey KeyOf(const RowName& name) {
  return {name.table, name.key};
}

std::size_t SizeOf(const std::vector<TableWrite>& writes) {
  std::size_t bytes = 0;
  for (const TableWrite& write : writes)
    bytes += write.value ? write.value->size() : 0;
  return bytes;
}

// The part of a conflict's rows that concerns `writes`.
std::vector<TableRow> RowsOf(const std::vector<TableWrite>& writes,
                             const std::map<RowKey, TableRow>& current) {
  std::vector<TableRow> rows;
  for (const TableWrite& write : writes) {
    if (auto found = current.find(KeyOf(write.name)); found != current.end())
      rows.push_back(found->second);
  }
  return rows;
}

bool Conflicts(const std::vector<TableWrite>& writes,
               const std::map<RowKey, TableRow>& current) {
  return std::any_of(writes.begin(), writes.end(),
                     [&current](const TableWrite& write) {
                       auto found = current.find(KeyOf(write.name));
                       std::uint64_t version =
                           found == current.end() ? 0 : found->second.version;
                       return version != write.expected_version;
                     });
}

}  // namespace

PacedTable::PacedTable(LoopTimer& timer,
                       SharedTable& store,
                       double writes_per_second,
                       base::Counter& delayed_writes)
    : timer_(timer),
      store_(store),
      rate_(writes_per_second),
      delayed_writes_(delayed_writes) {}

void PacedTable::Transact(std::vector<TableWrite> writes,
                          std::function<void(TransactionResult)> done) {
  if (!rate_.limited() || writes.empty())
    return store_.Transact(std::move(writes), std::move(done));
  std::string partition = writes.front().name.partition;
  waiting_[partition].push_back(
      {std::move(writes), std::move(done), timer_.now()});
  SendWaiting();
  if (waiting_.contains(partition))
    delayed_writes_.Add();
}

void PacedTable::ReadRange(TableRange range,
                           std::function<void(ReadResult)> done) {
  store_.ReadRange(std::move(range), std::move(done));
}

void PacedTable::AwaitChanges(std::string table,
                              std::uint64_t version,
                              base::milliseconds wait,
                              std::function<void(ChangesResult)> done) {
  store_.AwaitChanges(std::move(table), version, wait, std::move(done));
}

base::Duration PacedTable::expected_wait() const {
  if (waiting_.empty())
    return base::Duration(0);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(static_cast<double>(waiting_.size()) /
                                    rate_.per_second()));
}

void PacedTable::SendWaiting() {
  while (!waiting_.empty() && rate_.TakeCall(timer_.now())) {
    // The longest total wait: many rows at once, but none forgotten.
    auto now = timer_.now();
    auto urgency = [now](const auto& entry) {
      return static_cast<double>(entry.second.size()) *
             static_cast<double>((now - entry.second.front().since).count() +
                                 1);
    };
    auto next = std::max_element(waiting_.begin(), waiting_.end(),
                                 [&urgency](const auto& a, const auto& b) {
                                   return urgency(a) < urgency(b);
                                 });
    Jobs batch = TakeBatch(next->second);
    if (next->second.empty())
      waiting_.erase(next);
    SendBatch(std::move(batch));
  }
  if (waiting_.empty() || std::exchange(timer_set_, true))
    return;
  base::Duration delay = std::max<base::Duration>(
      base::milliseconds(1), rate_.until_next(timer_.now()));
  timer_.RunAfter(delay, [this] {
    timer_set_ = false;
    SendWaiting();
  });
}

PacedTable::Jobs PacedTable::TakeBatch(Jobs& waiting) {
  Jobs batch;
  std::set<RowKey> rows;
  std::size_t writes = 0;
  std::size_t bytes = 0;
  while (!waiting.empty()) {
    const Job& next = waiting.front();
    writes += next.writes.size();
    bytes += SizeOf(next.writes);
    bool same_row = std::any_of(next.writes.begin(), next.writes.end(),
                                [&rows](const TableWrite& write) {
                                  return rows.contains(KeyOf(write.name));
                                });
    bool fits = writes <= kMaxWrites && bytes <= kMaxBytes && !same_row &&
                !next.alone && !(!batch.empty() && batch.front().alone);
    if (!batch.empty() && !fits)
      break;
    for (const TableWrite& write : next.writes)
      rows.insert(KeyOf(write.name));
    batch.push_back(std::move(waiting.front()));
    waiting.pop_front();
  }
  return batch;
}

void PacedTable::SendBatch(Jobs batch) {
  std::vector<TableWrite> writes;
  for (const Job& job : batch)
    writes.insert(writes.end(), job.writes.begin(), job.writes.end());
  auto shared = std::make_shared<Jobs>(std::move(batch));
  store_.Transact(std::move(writes),
                  [this, shared](const TransactionResult& result) {
                    OnResult(std::move(*shared), result);
                  });
}

void PacedTable::OnResult(Jobs batch, const TransactionResult& result) {
  if (result.throttled) {
    rate_.OnRefused(timer_.now());
    if (timer_.now() - batch.front().since < kMaxRefusedTime) {
      for (Job& job : batch)
        job.in_doubt |= result.outcome == StoreOutcome::kUnknown;
      PutBack(std::move(batch));
      return SendWaiting();
    }
  }
  if (result.outcome == StoreOutcome::kConflict && batch.size() > 1)
    return OnConflict(std::move(batch), result);
  for (const Job& job : batch) {
    TransactionResult own = result;
    if (job.in_doubt && own.outcome == StoreOutcome::kNotDone)
      own.outcome = StoreOutcome::kUnknown;
    job.done(std::move(own));
  }
}

void PacedTable::PutBack(Jobs batch) {
  Jobs& waiting = waiting_[batch.front().writes.front().name.partition];
  waiting.insert(waiting.begin(), std::make_move_iterator(batch.begin()),
                 std::make_move_iterator(batch.end()));
}

void PacedTable::OnConflict(Jobs batch, const TransactionResult& result) {
  std::map<RowKey, TableRow> current;
  for (const TableRow& row : result.current)
    current.emplace(KeyOf(row.name), row);
  Jobs conflicting;
  Jobs others;
  for (Job& job : batch)
    (Conflicts(job.writes, current) ? conflicting : others)
        .push_back(std::move(job));
  // The rows have changed again since: each write finds out by itself.
  if (conflicting.empty()) {
    for (Job& job : others)
      job.alone = true;
  }
  if (!others.empty())
    PutBack(std::move(others));
  SendWaiting();
  for (const Job& job : conflicting) {
    TransactionResult own = result;
    own.current = RowsOf(job.writes, current);
    job.done(std::move(own));
  }
}

}  // namespace vanillalever::forwarding
