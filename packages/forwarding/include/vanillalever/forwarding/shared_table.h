#ifndef VANILLALEVER_FORWARDING_SHARED_TABLE_H_
#define VANILLALEVER_FORWARDING_SHARED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Rows of programs, turns and streams are spread over this many partitions,
// which the store writes independently of each other. The tables share them, so
// that rows of several tables fit into one transaction.
inline constexpr std::size_t kTablePartitions = 16;

// Name of one row. Rows of one partition can be written in one transaction.
struct RowName {
  std::string table;
  std::string partition;
  std::string key;
};

// One row of the shared table.
struct TableRow {
  RowName name;
  std::string value;
  // Version of the transaction that wrote it; zero if it does not exist.
  std::uint64_t version = 0;
  // The change deleted the row.
  bool deleted = false;
};

// Conditional write of one row.
struct TableWrite {
  RowName name;
  // Version that the row must have; zero requires that it does not exist.
  std::uint64_t expected_version = 0;
  // Absent to delete the row.
  std::optional<std::string> value;
};

// Outcome of a call to the store.
enum class StoreOutcome {
  kDone,
  // Not written, because the row had another version.
  kConflict,
  // Refused or not sent, each time: not written, and never will be. Says
  // nothing of an earlier call with the same write whose outcome is unknown.
  kNotDone,
  // No response to one copy of the call at least: may have been written or may
  // still be, as long as the rows have the expected versions.
  kUnknown,
};

// Rows of one partition with from <= key < to; an empty `to` has no end.
struct TableRange {
  std::string table;
  std::string partition;
  std::string from;
  std::string to;
};

// Outcome of a transaction.
struct TransactionResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  // New version of all written rows on kDone.
  std::uint64_t version = 0;
  // On kConflict the present rows of those to be written, without the ones that
  // do not exist.
  std::vector<TableRow> current;
  // Refused because all callers together make too many calls.
  bool throttled = false;
  // Why the outcome is kNotDone or kUnknown.
  std::string reason;
};

// Outcome of a write.
struct WriteResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  // New version on kDone.
  std::uint64_t version = 0;
  // The present row on kConflict.
  std::optional<TableRow> current;
  // Why the outcome is kNotDone or kUnknown.
  std::string reason;
};

// Outcome of a read.
struct ReadResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  std::vector<TableRow> rows;
  // Version of the store at which the rows were read.
  std::uint64_t version = 0;
  // Refused because all callers together make too many calls.
  bool throttled = false;
  // Why the outcome is not kDone.
  std::string reason;
};

// Outcome of waiting for changes.
struct ChangesResult {
  StoreOutcome outcome = StoreOutcome::kNotDone;
  // The store no longer keeps the changes since the given version, or they are
  // too large to be read: list the table.
  bool history_lost = false;
  // Changed rows in order, including deleted ones.
  std::vector<TableRow> rows;
  // Version to pass to the next call.
  std::uint64_t version = 0;
  // Refused because all callers together make too many calls.
  bool throttled = false;
  // Why the outcome is not kDone.
  std::string reason;
};

// Table shared by all processes; linearizable and durable. Calls do not block;
// callbacks run on the caller's event loop, never inside the call.
class SharedTable {
 public:
  // Largest number of writes in one transaction: the store takes 100 entries,
  // and a conditional write is two.
  static constexpr std::size_t kMaxWrites = 50;

  virtual ~SharedTable() = default;
  // Applies all writes or none. The rows must be of one partition, at most
  // kMaxWrites of them.
  virtual void Transact(std::vector<TableWrite> writes,
                        std::function<void(TransactionResult)> done) = 0;
  // The rows of a range, in order of their keys.
  virtual void ReadRange(TableRange range,
                         std::function<void(ReadResult)> done) = 0;
  // Long poll for the changes of a table after `version`; completes without
  // rows if there are none within `wait`.
  virtual void AwaitChanges(std::string table,
                            std::uint64_t version,
                            base::milliseconds wait,
                            std::function<void(ChangesResult)> done) = 0;

  // When the last part of a large response of the store arrived, and of one
  // that takes up the link to it, so that others wait; the beginning of time if
  // there was none.
  virtual base::TimePoint last_large_response() const { return {}; }
  virtual base::TimePoint last_slow_response() const { return {}; }

  // Time that a transaction which begins now waits before it is sent.
  virtual base::Duration expected_wait() const { return base::Duration(0); }

  // Transaction of a single write.
  void Write(TableWrite write, std::function<void(WriteResult)> done);
  void Read(RowName name, std::function<void(ReadResult)> done);
  // All rows of a partition, in order of their keys.
  void List(std::string table,
            std::string partition,
            std::function<void(ReadResult)> done);
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SHARED_TABLE_H_
