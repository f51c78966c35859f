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
// A call that gets no answer throws base::Error with the step store and the
// platform's address as peer. `ran` is unknown for a commit whose answer was
// lost, because it may have been applied; it is not_run for a commit that was
// never sent or was refused, and for every read.
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;

  // The row, or nothing if it does not exist.
  virtual std::optional<Row> Read(const std::string& key) = 0;

  // Rows whose key starts with `prefix`, in key order, from one point in time.
  virtual std::vector<Row> Scan(const std::string& prefix) = 0;

  // Sends the transaction once. Use ReliableCommit to retry after a lost
  // answer.
  virtual CommitResult Commit(const Transaction& transaction) = 0;

  // Stores `data` (any bytes) under `name`, replacing what was there.
  // Repeating the call is safe.
  virtual void PutObject(const std::string& name, const std::string& data) = 0;

  // The object's bytes, or nothing if it does not exist.
  virtual std::optional<std::string> FetchObject(const std::string& name) = 0;

  // Does nothing if the object does not exist.
  virtual void DeleteObject(const std::string& name) = 0;

  // All listed instances in order of address. The list lags behind.
  virtual std::vector<InstanceRecord> Instances() = 0;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_PLATFORM_STORE_H_
