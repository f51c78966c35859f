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
  // monotonic counter of the store, so a key that is deleted and created again
  // never reuses a version.
  std::uint64_t version = kAbsent;
  // Token of the transaction that wrote the row.
  std::string token;

  friend bool operator==(const Row&, const Row&) = default;
};

// Requires a row to have this version when the transaction is applied.
struct Condition {
  std::string key;
  // kAbsent requires that the row does not exist.
  std::uint64_t version = kAbsent;
};

// Write or deletion of one row.
struct RowWrite {
  std::string key;
  // New value; nullopt deletes the row.
  std::optional<std::string> value;
};

// Writes that are applied atomically if all conditions are met.
struct Transaction {
  // Unique per transaction and the same for its retries. Stored in every row
  // that the transaction writes.
  std::string token;
  std::vector<Condition> conditions;
  // At most one write per key.
  std::vector<RowWrite> writes;
};

// Result of a transaction.
struct CommitResult {
  bool applied = false;
  // Version of every row that the transaction wrote; zero if not applied.
  std::uint64_t version = 0;
  // Key of the first condition that was not met; empty if applied.
  std::string conflict_key;
};

// Throws base::Error (invalid_request, not_run) if the token or a key is empty,
// or if a key is written twice.
void ValidateTransaction(const Transaction& transaction);

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_TRANSACTION_H_
