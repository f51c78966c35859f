#ifndef VANILLALEVER_PLATFORM_PLATFORM_STORE_H_
#define VANILLALEVER_PLATFORM_PLATFORM_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "vanillalever/platform/instance_record.h"
#include "vanillalever/platform/transaction.h"

namespace vanillalever::platform {

// The platform's transactional table, object store and instance list. Calls
// block and are thread-safe.
//
// A call without a response throws base::Error with the step store and the
// platform's address as peer. `ran` is unknown for a commit whose response was
// lost, because it may have been applied. It is not_run for a commit that was
// not sent or was rejected, and for every read.
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  // Returns the row, or nullopt if it does not exist.
  virtual std::optional<Row> Read(const std::string& key) = 0;

  // Returns a consistent snapshot of the rows whose key starts with `prefix`,
  // in key order.
  virtual std::vector<Row> Scan(const std::string& prefix) = 0;

  // Sends the transaction once. Use ReliableCommit to retry after a lost
  // response.
  virtual CommitResult Commit(const Transaction& transaction) = 0;

  // Stores `data` (any bytes) under `name`, replacing an existing object. The
  // call is idempotent.
  virtual void PutObject(const std::string& name, const std::string& data) = 0;

  // Returns the object's bytes, or nullopt if it does not exist.
  virtual std::optional<std::string> FetchObject(const std::string& name) = 0;

  // Deletes the object if it exists.
  virtual void DeleteObject(const std::string& name) = 0;

  // Returns the listed instances ordered by address. The list lags behind.
  virtual std::vector<InstanceRecord> Instances() = 0;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_PLATFORM_STORE_H_
