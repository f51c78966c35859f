#ifndef VANILLALEVER_PLATFORM_TRANSACTION_H_
#define VANILLALEVER_PLATFORM_TRANSACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillalever::platform {

// Version of a row that does not exist.
inline constexpr std::uint64_t kAbsent = 0;

// One row of the platform's table.
struct Row {
  // Path-like name, for example "shard/12".
  std::string key;
  // UTF-8 text; other bytes belong in the object store.
  std::string value;
  // Version of the transaction that wrote the row. All versions come from one
  // counter of the store that only grows, so that deleting and creating a key
  // again never repeats a version.
  std::uint64_t version = kAbsent;
  // Token of the transaction that wrote the row.
  std::string token;

  friend bool operator==(const Row&, const Row&) = default;
};

// Requires a row to have exactly this version when the transaction is applied.
struct Condition {
  std::string key;
  // kAbsent requires that the row does not exist.
  std::uint64_t version = kAbsent;
};

// Change of one row.
struct RowWrite {
  std::string key;
  // New value; nothing deletes the row.
  std::optional<std::string> value;
};

// Writes that are applied together if all conditions hold, else not at all.
struct Transaction {
  // Unique per transaction and the same in its retries; stored in every row
  // that the transaction writes.
  std::string token;
  std::vector<Condition> conditions;
  // At most one write per key.
  std::vector<RowWrite> writes;
};

// Answer of the store to a transaction.
struct CommitResult {
  bool applied = false;
  // Version of every row that the transaction wrote; zero if not applied.
  std::uint64_t version = 0;
  // Key of the first condition that did not hold; empty if applied.
  std::string conflict_key;
};

// Throws an Error (invalid_request, not run) if the token is empty, a key is
// empty or a key is written twice.
void ValidateTransaction(const Transaction& transaction);

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_TRANSACTION_H_
