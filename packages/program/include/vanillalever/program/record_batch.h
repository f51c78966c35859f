#ifndef VANILLALEVER_PROGRAM_RECORD_BATCH_H_
#define VANILLALEVER_PROGRAM_RECORD_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/program/program_id.h"

namespace vanillalever::program {

// Precondition of a transaction.
struct RowCondition {
  std::string key;
  // Version that the row must have; zero if the row must not exist.
  std::uint64_t version = 0;

  bool operator==(const RowCondition&) const = default;
};

// One write of a transaction; deletes the row if there is no value.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;

  bool operator==(const RowWrite&) const = default;
};

// One transaction of the platform's table. Conditions on shard rows come first,
// so that a store that reports the first failed condition reports a lost shard
// rather than one of its programs. Otherwise conditions and writes are in key
// order.
struct TransactionPlan {
  // Unique token, stored in the rows that it writes.
  std::string token;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;

  bool operator==(const TransactionPlan&) const = default;
};

// Row writes of one program's commit.
struct ProgramChange {
  ProgramId id;
  // Key of the head row and the version that it must have; zero for a new
  // program.
  std::string head_key;
  std::uint64_t expected_version = 0;
  // Head row and the rows of ended turns.
  std::vector<RowWrite> writes;
};

// The shard row whose version proves ownership.
struct ShardCondition {
  std::uint32_t shard = 0;
  // Version of the row `shard/<n>` under this owner.
  std::uint64_t version = 0;
};

// Size limits of a batch.
struct RecordBatchSettings {
  // Maximum number of conditions and writes together.
  std::size_t max_rows = 512;
  // Maximum size of keys and values together.
  std::size_t max_bytes = std::size_t{1024} * 1024;
};

// Origin of a row whose condition failed.
struct ConflictSource {
  // Set for a shard row: ownership of the shard is lost.
  std::optional<std::uint32_t> shard;
  // Set for the head row of a program.
  std::optional<ProgramId> program;
};

// One group commit: the commits of many programs in one transaction. A batch
// always produces the same transaction, so that it can be sent again after a
// lost response.
class RecordBatch {
 public:
  RecordBatch(const RecordBatchSettings& settings, std::string token);

  // Adds commits that must take effect together. Returns false and adds nothing
  // if they do not fit; an empty batch accepts a group of any size, so that
  // large groups make progress. Throws base::Error (kInternal) if a program is
  // in the batch already or the shard was added with another version.
  bool Add(const ShardCondition& shard,
           const std::vector<ProgramChange>& group);

  bool empty() const { return heads_.empty(); }
  std::size_t rows() const { return conditions_.size() + writes_.size(); }
  std::size_t bytes() const { return bytes_; }
  const std::string& token() const { return token_; }

  TransactionPlan plan() const;

  // Programs of the shard in the batch, in order of their ids.
  std::vector<ProgramId> programs(std::uint32_t shard) const;
  // Shards in the batch, in order.
  std::vector<std::uint32_t> shards() const;

  // Returns what the conflict key of a rejected transaction refers to; empty
  // for a key that is not in the batch.
  ConflictSource FindConflictSource(std::string_view conflict_key) const;

  // Key of a head row of the batch, to be read after a conflict that follows a
  // lost response: the transaction took effect if and only if that row contains
  // token().
  std::string ReadBackKey() const;

  // Key of a shard row, "shard/<n>".
  static std::string ShardKey(std::uint32_t shard);

 private:
  RecordBatchSettings settings_;
  std::string token_;
  // Expected versions by key.
  std::map<std::string, std::uint64_t, std::less<>> conditions_;
  // Values by key.
  std::map<std::string, std::optional<std::string>, std::less<>> writes_;
  // Programs by head key.
  std::map<std::string, ProgramId, std::less<>> heads_;
  // Shards by shard key.
  std::map<std::string, std::uint32_t, std::less<>> shards_;
  // Bytes of keys and values.
  std::size_t bytes_ = 0;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_RECORD_BATCH_H_
