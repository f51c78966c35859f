#ifndef VANILLALEVER_RATE_TESTS_MODEL_ALLOTMENT_WORLD_H_
#define VANILLALEVER_RATE_TESTS_MODEL_ALLOTMENT_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/rate/allotment_book.h"

namespace vanillalever::rate::simulated {

using base::milliseconds;
using base::seconds;

// Faults that a check must find.
enum class PlantedFault {
  kNone,
  // Parts of a partitioned deployment use the whole allotment each.
  kWholeShare,
  // Announcements are not applied.
  kDeaf,
};

struct WorldSettings {
  int gateways = 6;
  double per_second = 30;
  double burst = 40;
  double excess = 0.1;
  double slack = 20;
  // Time from a request to its arrival at the others, and the lost fraction.
  milliseconds delay{50};
  double loss = 0.02;
  PlantedFault fault = PlantedFault::kNone;
};

// Gateways in simulated time that share the allotment of one organisation, by
// messages that may be lost or late. They may be killed, frozen and
// partitioned.
class World {
 public:
  World(std::uint64_t seed, WorldSettings settings);

  void Start(int gateway);
  void Kill(int gateway);
  void Freeze(int gateway, base::Duration time);
  // Gateways of different parts hear nothing of each other.
  void SetPart(int gateway, int part);
  void SetLimit(double per_second, double burst);
  // Requests a second that callers send to the gateway.
  void SetDemand(int gateway, double per_second);
  void RunFor(base::Duration time);

  bool alive(int gateway) const { return at(gateway).book != nullptr; }
  base::TimePoint now() const { return now_; }
  // Requests that ran since the start.
  std::size_t ran() const { return ran_.size(); }
  // Largest number of requests in one window that begins at `since` or later.
  std::size_t MostInWindow(base::TimePoint since) const;
  // What may run in one window.
  double Bound(double per_second, double burst) const;

  WorldSettings settings;
  base::Random random;

 private:
  struct Gateway {
    std::uint64_t run = 0;
    std::unique_ptr<AllotmentBook> book;
    int part = 0;
    double demand = 0;
    base::TimePoint frozen_until{};
    base::TimePoint listed_at{};
    // Times of the last messages of the others.
    std::map<int, base::TimePoint> heard;
    // Requests that arrived while the gateway was frozen.
    int queued = 0;
  };
  struct Message {
    int from = 0;
    int to = 0;
    std::uint64_t run = 0;
    std::vector<AllotmentUse> uses;
    base::TimePoint arrives_at{};
  };

  Gateway& at(int gateway) {
    return gateways_[static_cast<std::size_t>(gateway)];
  }
  const Gateway& at(int gateway) const {
    return gateways_[static_cast<std::size_t>(gateway)];
  }
  GatewayReach Reach(const Gateway& gateway) const;
  void Arrive(Gateway& gateway);
  void Announce(int from, const std::vector<AllotmentUse>& uses);
  void Deliver();
  void Step();

  std::vector<AllotmentLimit> limits_;
  std::vector<Gateway> gateways_;
  std::vector<Message> messages_;
  std::vector<base::TimePoint> ran_;
  std::uint64_t next_run_ = 1;
  std::int64_t steps_ = 0;
  base::TimePoint now_ = base::TimePoint(std::chrono::hours(1));
};

}  // namespace vanillalever::rate::simulated

#endif  // VANILLALEVER_RATE_TESTS_MODEL_ALLOTMENT_WORLD_H_
