#ifndef VANILLALEVER_PLATFORM_MEMORY_STORE_H_
#define VANILLALEVER_PLATFORM_MEMORY_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/error.h"
#include "vanillalever/platform/platform_store.h"

namespace vanillalever::platform {

// Fault of one store call.
enum class StoreFault {
  kNone,
  // The call is refused before it is sent; a commit did not run.
  kUnreachable,
  // The request is lost on the way: nothing is written, the caller times out.
  kLostRequest,
  // The call takes effect, but its answer is lost; the caller times out.
  kLostAnswer,
};

// PlatformStore in this process's memory, for tests and test doubles.
class MemoryStore final : public PlatformStore {
 public:
  // Fault of every call that InjectNext does not cover.
  void SetFault(StoreFault fault);

  // Faults of the next calls, one call each, in this order.
  void InjectNext(std::vector<StoreFault> faults);

  // Adds the instance or replaces the record with the same address.
  void SetInstance(InstanceRecord record);
  void RemoveInstance(const std::string& address);

  std::optional<Row> Read(const std::string& key) override;
  std::vector<Row> Scan(const std::string& prefix) override;
  CommitResult Commit(const Transaction& transaction) override;
  void PutObject(const std::string& name, const std::string& data) override;
  std::optional<std::string> FetchObject(const std::string& name) override;
  void DeleteObject(const std::string& name) override;
  std::vector<InstanceRecord> Instances() override;

 private:
  // Takes the fault of the present call and throws if it fails before the
  // store does anything. Returns whether the answer is to be lost.
  bool BeginCall(base::ExecutionStatus ran_if_lost);
  CommitResult Apply(const Transaction& transaction);
  std::uint64_t VersionOf(const std::string& key) const;

  std::mutex mutex_;
  StoreFault fault_ = StoreFault::kNone;
  std::deque<StoreFault> next_faults_;
  std::map<std::string, Row, std::less<>> rows_;
  std::map<std::string, std::string, std::less<>> objects_;
  // By address.
  std::map<std::string, InstanceRecord, std::less<>> instances_;
  // Version of the newest applied transaction.
  std::uint64_t version_ = 0;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_MEMORY_STORE_H_
