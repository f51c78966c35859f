#include "vanillalever/forwarding/memory_monitor.h"

#include <utility>

#include "vanillalever/base/logging.h"
#include "vanillalever/memory/process_memory.h"

namespace vanillalever::forwarding {
namespace {

// Shortest interval between two returns of freed memory, which take time.
constexpr base::milliseconds kReturnInterval{500};

std::string PurposeLabel(std::size_t purpose) {
  auto value = static_cast<memory::Purpose>(purpose);
  return "purpose=\"" + std::string(memory::kPurposeNames.name(value)) + "\"";
}

std::string Ms(base::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<base::milliseconds>(duration).count());
}

}  // namespace

MemoryMonitor::MemoryMonitor(const memory::AccountSettings& settings,
                             base::CounterRegistry& counters)
    : account_(std::make_shared<memory::Account>(settings)),
      slowed_(counters.counter("vl_gateway_memory_slowed_total",
                               "Callers whose input was not read on until "
                               "memory was free.")) {
  for (std::size_t purpose = 0; purpose < memory::kPurposes; ++purpose) {
    std::string label = PurposeLabel(purpose);
    series_[purpose].held = &counters.gauge("vl_gateway_memory_held_bytes",
                                            "Bytes held for callers.", label);
    series_[purpose].ended = &counters.counter(
        "vl_gateway_memory_ended_total",
        "Callers refused or disconnected to release memory.", label);
    counters
        .gauge("vl_gateway_memory_limit_bytes",
               "Largest number of bytes held for callers.", label)
        .Set(static_cast<std::int64_t>(
            account_->limit(static_cast<memory::Purpose>(purpose))));
  }
}

void MemoryMonitor::Tick(base::TimePoint now) {
  account_->Tick(now);
  for (std::size_t i = 0; i < memory::kPurposes; ++i) {
    auto purpose = static_cast<memory::Purpose>(i);
    series_[i].held->Set(static_cast<std::int64_t>(account_->held(purpose)));
    return_due_ |= ReportEnded(purpose);
  }
  std::uint64_t slowed = account_->slowed_total();
  if (std::uint64_t added = slowed - std::exchange(reported_slowed_, slowed);
      added > 0) {
    slowed_.Add(static_cast<std::int64_t>(added));
    base::LogEvent(base::LogLevel::kWarning, "callers_slowed",
                   {{"callers", std::to_string(added)},
                    {"held_bytes", std::to_string(account_->held())}});
  }
  if (return_due_ && now - returned_at_ >= kReturnInterval) {
    return_due_ = false;
    returned_at_ = now;
    memory::ReturnFreeMemory();
  }
}

bool MemoryMonitor::ReportEnded(memory::Purpose purpose) {
  memory::Account::Ended ended = account_->TakeEnded(purpose);
  if (ended.holders == 0)
    return false;
  series_[static_cast<std::size_t>(purpose)].ended->Add(
      static_cast<std::int64_t>(ended.holders));
  base::LogEvent(base::LogLevel::kWarning, "callers_ended",
                 {{"purpose", std::string(memory::kPurposeNames.name(purpose))},
                  {"callers", std::to_string(ended.holders)},
                  {"bytes", std::to_string(ended.bytes)},
                  {"largest_bytes", std::to_string(ended.largest_bytes)},
                  {"longest_ms", Ms(ended.longest)},
                  {"held_bytes", std::to_string(account_->held())}});
  return true;
}

}  // namespace vanillalever::forwarding
