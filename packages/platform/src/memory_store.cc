#include "vanillalever/platform/memory_store.h"

#include <utility>

namespace vanillalever::platform {
namespace {

constexpr char kPeerName[] = "memory";

base::Error StoreError(base::ErrorCode code,
                       std::string message,
                       base::ExecutionStatus ran) {
  base::ErrorInfo info;
  info.code = code;
  info.message = std::move(message);
  info.step = base::Step::kStore;
  info.peer = kPeerName;
  info.ran = ran;
  return base::Error(std::move(info));
}

base::Error TimeoutError(base::ExecutionStatus ran) {
  return StoreError(base::ErrorCode::kTimeout, "no answer from the store", ran);
}

// Throws a timeout if the response is to be dropped.
void EndCall(bool drop_response, base::ExecutionStatus ran) {
  if (drop_response)
    throw TimeoutError(ran);
}

}  // namespace

void MemoryStore::SetFault(StoreFault fault) {
  std::lock_guard lock(mutex_);
  fault_ = fault;
}

void MemoryStore::InjectNext(std::vector<StoreFault> faults) {
  std::lock_guard lock(mutex_);
  next_faults_.insert(next_faults_.end(), faults.begin(), faults.end());
}

void MemoryStore::SetInstance(InstanceRecord record) {
  std::lock_guard lock(mutex_);
  std::string address = record.address;
  instances_[std::move(address)] = std::move(record);
}

void MemoryStore::RemoveInstance(const std::string& address) {
  std::lock_guard lock(mutex_);
  instances_.erase(address);
}

std::optional<Row> MemoryStore::Read(const std::string& key) {
  std::lock_guard lock(mutex_);
  EndCall(BeginCall(base::ExecutionStatus::kNotRun),
          base::ExecutionStatus::kNotRun);
  auto found = rows_.find(key);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<Row> MemoryStore::Scan(const std::string& prefix) {
  std::lock_guard lock(mutex_);
  EndCall(BeginCall(base::ExecutionStatus::kNotRun),
          base::ExecutionStatus::kNotRun);
  std::vector<Row> rows;
  for (auto it = rows_.lower_bound(prefix);
       it != rows_.end() && it->first.starts_with(prefix); ++it)
    rows.push_back(it->second);
  return rows;
}

CommitResult MemoryStore::Commit(const Transaction& transaction) {
  ValidateTransaction(transaction);
  std::lock_guard lock(mutex_);
  bool drop_response = BeginCall(base::ExecutionStatus::kUnknown);
  CommitResult result = Apply(transaction);
  EndCall(drop_response, base::ExecutionStatus::kUnknown);
  return result;
}

void MemoryStore::PutObject(const std::string& name, const std::string& data) {
  std::lock_guard lock(mutex_);
  bool drop_response = BeginCall(base::ExecutionStatus::kUnknown);
  objects_[name] = data;
  EndCall(drop_response, base::ExecutionStatus::kUnknown);
}

std::optional<std::string> MemoryStore::FetchObject(const std::string& name) {
  std::lock_guard lock(mutex_);
  EndCall(BeginCall(base::ExecutionStatus::kNotRun),
          base::ExecutionStatus::kNotRun);
  auto found = objects_.find(name);
  return found == objects_.end() ? std::nullopt : std::optional(found->second);
}

void MemoryStore::DeleteObject(const std::string& name) {
  std::lock_guard lock(mutex_);
  bool drop_response = BeginCall(base::ExecutionStatus::kUnknown);
  objects_.erase(name);
  EndCall(drop_response, base::ExecutionStatus::kUnknown);
}

std::vector<InstanceRecord> MemoryStore::Instances() {
  std::lock_guard lock(mutex_);
  EndCall(BeginCall(base::ExecutionStatus::kNotRun),
          base::ExecutionStatus::kNotRun);
  std::vector<InstanceRecord> records;
  records.reserve(instances_.size());
  for (const auto& [address, record] : instances_)
    records.push_back(record);
  return records;
}

bool MemoryStore::BeginCall(base::ExecutionStatus ran_if_lost) {
  StoreFault fault = fault_;
  if (!next_faults_.empty()) {
    fault = next_faults_.front();
    next_faults_.pop_front();
  }
  if (fault == StoreFault::kUnreachable)
    throw StoreError(base::ErrorCode::kUnavailable, "the store is unreachable",
                     base::ExecutionStatus::kNotRun);
  if (fault == StoreFault::kLostRequest)
    throw TimeoutError(ran_if_lost);
  return fault == StoreFault::kLostResponse;
}

CommitResult MemoryStore::Apply(const Transaction& transaction) {
  for (const Condition& condition : transaction.conditions) {
    if (CurrentVersion(condition.key) != condition.version)
      return {.applied = false, .version = 0, .conflict_key = condition.key};
  }
  ++version_;
  for (const RowWrite& write : transaction.writes) {
    if (write.value)
      rows_[write.key] = {write.key, *write.value, version_, transaction.token};
    else
      rows_.erase(write.key);
  }
  return {.applied = true, .version = version_, .conflict_key = ""};
}

std::uint64_t MemoryStore::CurrentVersion(const std::string& key) const {
  auto found = rows_.find(key);
  return found == rows_.end() ? kAbsent : found->second.version;
}

}  // namespace vanillalever::platform
