#ifndef VANILLALEVER_FORWARDING_RECORD_WRITER_H_
#define VANILLALEVER_FORWARDING_RECORD_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Row that holds a part of a record; `index` is 0 for the first row.
RowName RecordRowName(const std::string& table,
                      const std::string& id,
                      std::size_t index);
// All rows of a record.
TableRange RecordRowRange(const std::string& table, const std::string& id);
// The same in partitions of the table's own, where earlier releases wrote.
TableRange EarlierRecordRowRange(const std::string& table,
                                 const std::string& id);

// Writes records, each of one or several rows, to one table, which the id
// divides into partitions. One transaction per partition is in progress;
// records that come meanwhile share the next one. A write whose outcome is
// unknown is repeated: the rows of a record are written only while they do not
// exist, and a present row with the same value was written by an earlier
// attempt. Event loop's thread only.
class RecordWriter {
 public:
  // Result of writing one record.
  struct Outcome {
    // The record is durable.
    bool recorded = false;
    // Version of its rows, also if an earlier attempt wrote them.
    std::uint64_t version = 0;
  };
  using Callback = std::function<void(Outcome)>;

  RecordWriter(boost::asio::io_context& context,
               SharedTable& table,
               std::string name,
               std::uint64_t seed);

  // Writes `rows` as the record `id`, together with `entry`, a row of another
  // table in the same partition, and repeats the write until it succeeds or
  // `give_up` has passed. Must not need more than one transaction.
  void Write(const std::string& id,
             std::vector<std::string> rows,
             TableWrite entry,
             base::TimePoint give_up,
             Callback done);

 private:
  struct Job {
    std::string id;
    std::vector<std::string> rows;
    TableWrite entry;
    std::size_t bytes = 0;
    base::TimePoint give_up{};
    Callback done;
  };
  struct Partition {
    std::deque<Job> waiting;
    // Records of the transaction in progress.
    std::vector<Job> writing;
    // A transaction or the delay after a failed one is in progress.
    bool busy = false;
    int failures = 0;
  };

  void StartTransaction(std::size_t index);
  void OnTransaction(std::size_t index, const TransactionResult& result);
  // After a conflict: completes the records that exist, and keeps the others
  // waiting.
  void OnConflict(Partition& partition, const TransactionResult& result);
  void RetryLater(std::size_t index, const std::string& reason);

  boost::asio::io_context& context_;
  SharedTable& table_;
  const std::string name_;
  base::Random random_;
  std::vector<Partition> partitions_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RECORD_WRITER_H_
