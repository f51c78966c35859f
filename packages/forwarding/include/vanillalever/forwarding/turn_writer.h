#ifndef VANILLALEVER_FORWARDING_TURN_WRITER_H_
#define VANILLALEVER_FORWARDING_TURN_WRITER_H_

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

// Row that holds a part of a turn's record; `index` is 0 for the first row.
RowName TurnRowName(const std::string& id, std::size_t index);
// All rows of a turn's record.
TableRange TurnRowRange(const std::string& id);

// Writes the records of turns to the shared table. One transaction per
// partition is in progress; turns that end meanwhile share the next one. A
// write whose outcome is unknown is repeated: the rows of a turn are written
// only while they do not exist, and a present row with the same value was
// written by an earlier attempt. Event loop's thread only.
class TurnWriter {
 public:
  // Result of writing one turn.
  struct Outcome {
    // The record is durable.
    bool recorded = false;
    // Version of its rows; zero if an earlier attempt wrote them.
    std::uint64_t version = 0;
  };
  using Callback = std::function<void(Outcome)>;

  TurnWriter(boost::asio::io_context& context,
             SharedTable& table,
             std::uint64_t seed);

  // Writes `rows` as the record of turn `id`, and repeats the write until it
  // succeeds or `give_up` has passed. Must not need more than one transaction.
  void Write(const std::string& id,
             std::vector<std::string> rows,
             base::TimePoint give_up,
             Callback done);

 private:
  struct Job {
    std::string id;
    std::vector<std::string> rows;
    std::size_t bytes = 0;
    base::TimePoint give_up{};
    Callback done;
  };
  struct Partition {
    std::deque<Job> waiting;
    // Turns of the transaction in progress.
    std::vector<Job> writing;
    // A transaction or the delay after a failed one is in progress.
    bool busy = false;
    int failures = 0;
  };

  void StartTransaction(std::size_t index);
  void OnTransaction(std::size_t index, const TransactionResult& result);
  // After a conflict: completes the turns that exist, and keeps the others
  // waiting.
  void OnConflict(Partition& partition, const TransactionResult& result);
  void RetryLater(std::size_t index, const std::string& reason);

  boost::asio::io_context& context_;
  SharedTable& table_;
  base::Random random_;
  std::vector<Partition> partitions_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TURN_WRITER_H_
