#include "vanillalever/forwarding/record_writer.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <utility>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

// Limit of one transaction; the store's is 1 MB, and values grow by a third in
// its encoding.
constexpr std::size_t kMaxBytes = 640 << 10;
// Separates a record's id from the number of a further row.
constexpr char kRowSeparator = '#';
constexpr milliseconds kFirstRetryDelay{15};
constexpr milliseconds kMaxRetryDelay{150};

std::size_t PartitionOf(const std::string& id) {
  return base::Hash64(id) % kTablePartitions;
}

}  // namespace

RowName RecordRowName(const std::string& table,
                      const std::string& id,
                      std::size_t index) {
  RowName name{table, std::to_string(PartitionOf(id)), id};
  if (index > 0) {
    // Padded, so that the rows are in order of their keys.
    std::string number = std::to_string(index);
    name.key += kRowSeparator;
    name.key.append(3 - std::min<std::size_t>(3, number.size()), '0');
    name.key += number;
  }
  return name;
}

TableRange RecordRowRange(const std::string& table, const std::string& id) {
  constexpr char kAfterSeparator = kRowSeparator + 1;
  return {table, std::to_string(PartitionOf(id)), id, id + kAfterSeparator};
}

TableRange EarlierRecordRowRange(const std::string& table,
                                 const std::string& id) {
  TableRange range = RecordRowRange(table, id);
  range.partition = table + "-" + range.partition;
  return range;
}

RecordWriter::RecordWriter(boost::asio::io_context& context,
                           SharedTable& table,
                           std::string name,
                           std::uint64_t seed)
    : context_(context),
      table_(table),
      name_(std::move(name)),
      random_(seed),
      partitions_(kTablePartitions) {}

void RecordWriter::Write(const std::string& id,
                         std::vector<std::string> rows,
                         TableWrite entry,
                         base::TimePoint give_up,
                         Callback done) {
  std::size_t index = PartitionOf(id);
  std::size_t bytes = entry.value ? entry.value->size() : 0;
  for (const std::string& row : rows)
    bytes += row.size();
  partitions_[index].waiting.push_back(
      {id, std::move(rows), std::move(entry), bytes, give_up, std::move(done)});
  if (!partitions_[index].busy)
    StartTransaction(index);
}

void RecordWriter::StartTransaction(std::size_t index) {
  Partition& partition = partitions_[index];
  partition.busy = false;
  auto now = base::TimePoint::clock::now();
  std::size_t rows = 0;
  std::size_t bytes = 0;
  std::vector<Job> expired;
  while (!partition.waiting.empty()) {
    Job& next = partition.waiting.front();
    if (next.give_up <= now) {
      expired.push_back(std::move(next));
      partition.waiting.pop_front();
      continue;
    }
    rows += next.rows.size() + 1;
    bytes += next.bytes;
    if (!partition.writing.empty() &&
        (rows > SharedTable::kMaxWrites || bytes > kMaxBytes))
      break;
    partition.writing.push_back(std::move(next));
    partition.waiting.pop_front();
  }
  if (!partition.writing.empty()) {
    partition.busy = true;
    std::vector<TableWrite> writes;
    for (const Job& job : partition.writing) {
      for (std::size_t i = 0; i < job.rows.size(); ++i)
        writes.push_back({RecordRowName(name_, job.id, i), 0, job.rows[i]});
      writes.push_back(job.entry);
    }
    table_.Transact(std::move(writes),
                    [this, index](const TransactionResult& result) {
                      OnTransaction(index, result);
                    });
  }
  for (Job& job : expired)
    job.done({});
}

void RecordWriter::OnTransaction(std::size_t index,
                                 const TransactionResult& result) {
  Partition& partition = partitions_[index];
  switch (result.outcome) {
    case StoreOutcome::kDone: {
      partition.failures = 0;
      auto written = std::exchange(partition.writing, {});
      // The next transaction begins before callbacks add records.
      StartTransaction(index);
      for (Job& job : written)
        job.done({true, result.version});
      return;
    }
    case StoreOutcome::kConflict:
      partition.failures = 0;
      OnConflict(partition, result);
      return StartTransaction(index);
    case StoreOutcome::kNotDone:
    case StoreOutcome::kUnknown:
      return RetryLater(index, result.reason);
  }
}

void RecordWriter::OnConflict(Partition& partition,
                              const TransactionResult& result) {
  std::map<std::pair<std::string, std::string>, const TableRow*> present;
  for (const TableRow& row : result.current)
    present.emplace(std::pair(row.name.table, row.name.key), &row);
  auto jobs = std::exchange(partition.writing, {});
  std::reverse(jobs.begin(), jobs.end());
  for (Job& job : jobs) {
    auto first = present.find({name_, job.id});
    if (first == present.end()) {
      // An entry that was left without its record is replaced.
      auto entry = present.find({job.entry.name.table, job.entry.name.key});
      job.entry.expected_version =
          entry == present.end() ? 0 : entry->second->version;
      partition.waiting.push_front(std::move(job));
      continue;
    }
    const TableRow& row = *first->second;
    bool same = row.value == job.rows.front();
    if (!same) {
      base::LogEvent(base::LogLevel::kWarning, "record_id_reused",
                     {{"table", name_}, {"record", job.id}});
    }
    // Same: the response to an earlier attempt was lost.
    job.done({same, row.version});
  }
}

void RecordWriter::RetryLater(std::size_t index, const std::string& reason) {
  Partition& partition = partitions_[index];
  base::LogEvent(base::LogLevel::kWarning, "record_write_failed",
                 {{"table", name_},
                  {"record", partition.writing.front().id},
                  {"records", std::to_string(partition.writing.size())},
                  {"failures", std::to_string(partition.failures + 1)},
                  {"reason", reason}});
  auto jobs = std::exchange(partition.writing, {});
  partition.waiting.insert(partition.waiting.begin(),
                           std::make_move_iterator(jobs.begin()),
                           std::make_move_iterator(jobs.end()));
  auto delay =
      std::min(kMaxRetryDelay,
               kFirstRetryDelay * (1 << std::min(partition.failures, 8)));
  ++partition.failures;
  auto jitter = random_.Below(static_cast<std::uint64_t>(delay.count()) + 1);
  auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, delay / 2 + milliseconds(jitter / 2));
  timer->async_wait([this, index, timer](boost::system::error_code error) {
    if (!error)
      StartTransaction(index);
  });
}

}  // namespace vanillalever::forwarding
