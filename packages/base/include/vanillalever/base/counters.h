#ifndef VANILLALEVER_BASE_COUNTERS_H_
#define VANILLALEVER_BASE_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace vanillalever::base {

// Monotonic counter or gauge; updates are wait-free.
class Counter {
 public:
  void Add(std::int64_t delta = 1) {
    value_.fetch_add(delta, std::memory_order_relaxed);
  }
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Type of a metric family in the Prometheus text format.
enum class MetricType { kCounter, kGauge };

// Registry of the counters of a process. Thread-safe. The returned references
// stay valid for the lifetime of the registry.
class CounterRegistry {
 public:
  // Returns the counter of family `name` with the given label text, for example
  // `step="dispatch"`, and creates it on first use. A family keeps the first
  // `help` text passed for it.
  Counter& counter(std::string_view name,
                   std::string_view help,
                   std::string_view labels = "");
  Counter& gauge(std::string_view name,
                 std::string_view help,
                 std::string_view labels = "");

  // Returns all counters in the Prometheus text format, sorted by family and
  // label set.
  std::string Render() const;

 private:
  struct Family {
    MetricType type = MetricType::kCounter;
    std::string help;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> series;
  };

  Counter& FindOrCreate(std::string_view name,
                        std::string_view help,
                        std::string_view labels,
                        MetricType type);

  mutable std::mutex mutex_;
  std::map<std::string, Family, std::less<>> families_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_COUNTERS_H_
