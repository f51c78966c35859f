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

#include "call.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/platform/memory_store.h"

namespace vanillalever::fakes {

// Faults of the fake platform, set by POST /control. Rates are shares of calls
// between 0 and 1.
struct PlatformFaults {
  // Time before each call takes effect.
  base::milliseconds latency{0};
  // Status 503 without effect.
  double fail_rate = 0;
  // Connections are closed without effect or answer.
  bool down = false;
  // Transactions and object writes take effect, but their connection is closed
  // without an answer.
  double lose_answer_rate = 0;
  // Age of the instance list.
  base::milliseconds stale_instances{0};
  // The instance list stays as it was when this was set.
  bool freeze_instances = false;
};

// The platform's table, object store and instance list over HTTP. Faults apply
// to these routes, not to /control, /stats and POST /instances.
class FakePlatform {
 public:
  explicit FakePlatform(std::uint64_t seed);

  void Handle(Call& call);

 private:
  using Json = nlohmann::json;

  // Instance list from a point in time on.
  struct Listing {
    base::TimePoint since;
    std::vector<platform::InstanceRecord> records;
  };

  // Calls of one kind: in total, and per second of the run.
  struct Rate {
    std::int64_t total = 0;
    std::int64_t this_second = 0;
    std::int64_t peak_per_second = 0;
    // Second to which this_second belongs, counted from the start.
    std::int64_t second = 0;
  };

  void Serve(Call& call);
  void ReadTable(Call& call);
  void RunTransaction(Call& call, bool lose_answer);
  void ServeObject(Call& call, bool lose_answer);
  void ListInstances(Call& call);
  // {address, service, data_centre, state: live|leaving|gone}.
  void RegisterInstance(Call& call);
  void SetFaults(Call& call);
  void ReportStats(Call& call);

  PlatformFaults faults();
  bool Draw(double rate);
  void Count(const std::string& kind);

  platform::MemoryStore store_;
  std::mutex mutex_;
  PlatformFaults faults_;
  base::Random random_;
  // Every state of the instance list, oldest first.
  std::deque<Listing> listings_;
  base::TimePoint frozen_at_;
  base::TimePoint started_at_;
  std::map<std::string, Rate> rates_;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_FAKE_PLATFORM_H_
