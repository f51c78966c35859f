#ifndef VANILLALEVER_FAKES_FAKE_PLATFORM_H_
#define VANILLALEVER_FAKES_FAKE_PLATFORM_H_

#include <utility>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_exchange.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/platform/memory_store.h"

namespace vanillalever::fakes {

// Faults injected into the fake platform, set by POST /control. Rates are
// probabilities per request.
struct PlatformFaults {
  // Delay before each request is processed.
  base::milliseconds latency{0};
  // Status 503; the request is not processed.
  double fail_rate = 0;
  // Connections are closed; requests are not processed.
  bool down = false;
  // Transactions and object writes are applied, but the connection is closed
  // without a response.
  double lose_response_rate = 0;
  // Delay of the instance list.
  base::milliseconds stale_instances{0};
  // The instance list stays as it was when this flag was set.
  bool freeze_instances = false;
};

// Test double of the platform: table, object store and instance list over HTTP.
// Faults apply to these routes, not to /control, /stats and POST /instances.
class FakePlatform {
 public:
  explicit FakePlatform(std::uint64_t seed);

  void Handle(HttpExchange& exchange);

 private:
  using Json = nlohmann::json;

  // Instance list that is valid from `since` on.
  struct InstanceListSnapshot {
    base::TimePoint since;
    std::vector<platform::InstanceRecord> records;
  };

  // Number of requests of one kind: in total, and per second of the run.
  struct RequestCounter {
    std::int64_t total = 0;
    std::int64_t this_second = 0;
    std::int64_t peak_per_second = 0;
    // Second that this_second counts, since the start.
    std::int64_t second = 0;
  };

  void ServeRequest(HttpExchange& exchange);
  void ReadTable(HttpExchange& exchange);
  void RunTransaction(HttpExchange& exchange, bool lose_response);
  void ServeObject(HttpExchange& exchange, bool lose_response);
  void ListInstances(HttpExchange& exchange);
  // {address, service, data_centre, state: live|leaving|gone}.
  void RegisterInstance(HttpExchange& exchange);
  void SetFaults(HttpExchange& exchange);
  void ReportStats(HttpExchange& exchange);

  PlatformFaults faults();
  bool InjectFault(double rate);
  void CountRequest(const std::string& kind);

  platform::MemoryStore store_;
  std::mutex mutex_;
  PlatformFaults faults_;
  base::Random random_;
  // All versions of the instance list, oldest first.
  std::deque<InstanceListSnapshot> snapshots_;
  base::TimePoint frozen_at_;
  base::TimePoint started_at_;
  std::map<std::string, RequestCounter> counters_;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_PLATFORM_H_
