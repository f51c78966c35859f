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

// Fault to inject into a store call.
enum class StoreFault {
  kNone,
  // The call fails before it is sent; a commit did not run.
  kUnreachable,
  // The request is lost: nothing is written and the caller times out.
  kLostRequest,
  // The call takes effect but its response is lost; the caller times out.
  kLostResponse,
};

// In-memory PlatformStore for tests and test doubles.
class MemoryStore final : public PlatformStore {
 public:
  // Sets the fault of all calls that InjectNext() does not cover.
  void SetFault(StoreFault fault);

  // Appends faults for the next calls, one per call.
  void InjectNext(std::vector<StoreFault> faults);

  // Adds the instance, or replaces the record with the same address.
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
  // Determines the fault of the current call. Throws if the call must not take
  // effect; otherwise returns whether to drop its response.
  bool BeginCall(base::ExecutionStatus ran_if_lost);
  CommitResult Apply(const Transaction& transaction);
  std::uint64_t CurrentVersion(const std::string& key) const;

  std::mutex mutex_;
  StoreFault fault_ = StoreFault::kNone;
  std::deque<StoreFault> next_faults_;
  std::map<std::string, Row, std::less<>> rows_;
  std::map<std::string, std::string, std::less<>> objects_;
  // Keyed by address.
  std::map<std::string, InstanceRecord, std::less<>> instances_;
  // Version of the last applied transaction.
  std::uint64_t version_ = 0;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_MEMORY_STORE_H_
