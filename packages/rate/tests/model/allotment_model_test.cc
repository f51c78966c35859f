// Model check of allotments: random schedules of kills, freezes, partitions and
// changes of the limit against AllotmentBook, in simulated time.

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

#include "allotment_world.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::rate::simulated {
namespace {

enum class Trouble {
  kNone,
  kKillAndRestart,
  kKillForGood,
  kKillAll,
  kFreeze,
  kFreezeMany,
  kCutOne,
  kCutHalf,
  kJoin,
  kLowerLimit,
};
inline constexpr base::NameTable<Trouble, 10> kTroubleNames({
    "none",
    "kill_and_restart",
    "kill_for_good",
    "kill_all",
    "freeze",
    "freeze_many",
    "cut_one",
    "cut_half",
    "join",
    "lower_limit",
});

// Where the callers' requests arrive.
enum class Spread { kOneGateway, kMoves, kEven, kUneven };
inline constexpr base::NameTable<Spread, 4> kSpreadNames({"one_gateway",
                                                          "moves", "even",
                                                          "uneven"});

// The organisation sends this multiple of its rate.
constexpr double kHot = 8;

class Player {
 public:
  Player(std::uint64_t seed, Spread spread, WorldSettings settings)
      : spread_(spread), world_(seed, settings) {}

  void Play(Trouble trouble, Trouble second) {
    int first = trouble == Trouble::kJoin ? 1 : 0;
    for (int gateway = first; gateway < world_.settings.gateways; ++gateway)
      world_.Start(gateway);
    world_.RunFor(seconds(3));
    SetDemand(0.5);
    world_.RunFor(milliseconds(world_.random.Below(2000)));
    SetDemand(kHot);
    began_ = world_.now();
    world_.RunFor(milliseconds(world_.random.Below(2500)));
    Disturb(trouble);
    world_.RunFor(milliseconds(world_.random.Below(2500)));
    Disturb(second);
    world_.RunFor(seconds(4));
    Heal();
    world_.RunFor(seconds(4));
  }

  // The allowance of the largest limit that was in force.
  bool within_bound() const {
    return static_cast<double>(world_.MostInWindow({})) <=
               world_.Bound(world_.settings.per_second,
                            world_.settings.burst) &&
           (!lowered_at_ ||
            static_cast<double>(world_.MostInWindow(*lowered_at_)) <=
                world_.Bound(kLowRate, kLowBurst));
  }
  std::string Describe() const {
    return "most in a window " + std::to_string(world_.MostInWindow({})) +
           " of " +
           std::to_string(
               world_.Bound(world_.settings.per_second, world_.settings.burst));
  }
  // Fraction of the allowed requests that ran from the begin of the load.
  World& world() { return world_; }
  base::TimePoint began() const { return began_; }

  void SetDemand(double of_rate) {
    double total = of_rate * world_.settings.per_second;
    int count = world_.settings.gateways;
    int chosen = static_cast<int>(
        world_.random.Below(static_cast<std::uint64_t>(count)));
    for (int gateway = 0; gateway < count; ++gateway) {
      switch (spread_) {
        case Spread::kOneGateway:
        case Spread::kMoves:
          world_.SetDemand(gateway, gateway == chosen ? total : 0);
          break;
        case Spread::kEven:
          world_.SetDemand(gateway, total / count);
          break;
        case Spread::kUneven:
          // Halves from one gateway to the next.
          world_.SetDemand((chosen + gateway) % count,
                           total / static_cast<double>(2 << gateway));
          break;
      }
    }
  }

 private:
  static constexpr double kLowRate = 3;
  static constexpr double kLowBurst = 4;

  int AnyGateway() {
    return static_cast<int>(world_.random.Below(
        static_cast<std::uint64_t>(world_.settings.gateways)));
  }
  base::Duration CutTime() {
    return seconds(4) + milliseconds(world_.random.Below(4000));
  }

  void Disturb(Trouble trouble) {
    int gateway = AnyGateway();
    switch (trouble) {
      case Trouble::kNone:
        break;
      case Trouble::kKillAndRestart:
        world_.Kill(gateway);
        world_.RunFor(milliseconds(200 + world_.random.Below(1500)));
        world_.Start(gateway);
        break;
      case Trouble::kKillForGood:
        world_.Kill(gateway);
        break;
      case Trouble::kKillAll:
        for (int each = 0; each < world_.settings.gateways; ++each)
          world_.Kill(each);
        world_.RunFor(milliseconds(200 + world_.random.Below(1500)));
        for (int each = 0; each < world_.settings.gateways; ++each)
          world_.Start(each);
        break;
      case Trouble::kFreeze:
        world_.Freeze(gateway, CutTime());
        break;
      case Trouble::kFreezeMany:
        for (int each = 0; each < world_.settings.gateways; ++each) {
          if (world_.random.Below(2) == 0)
            world_.Freeze(each, CutTime());
        }
        break;
      case Trouble::kCutOne:
        world_.SetPart(gateway, 1);
        break;
      case Trouble::kCutHalf:
        for (int each = 0; each < world_.settings.gateways; ++each)
          world_.SetPart(each, each % 2);
        break;
      case Trouble::kJoin:
        if (!world_.alive(0))
          world_.Start(0);
        break;
      case Trouble::kLowerLimit:
        world_.SetLimit(kLowRate, kLowBurst);
        lowered_at_ = world_.now();
        break;
    }
    if (spread_ == Spread::kMoves)
      SetDemand(kHot);
  }

  void Heal() {
    for (int gateway = 0; gateway < world_.settings.gateways; ++gateway)
      world_.SetPart(gateway, 0);
  }

  Spread spread_;
  World world_;
  base::TimePoint began_{};
  std::optional<base::TimePoint> lowered_at_;
};

// Number of schedules from the environment.
std::uint64_t Schedules() {
  const char* text = std::getenv("VL_ALLOTMENT_SCHEDULES");
  return text == nullptr ? 400 : std::stoull(text);
}

struct Schedule {
  Trouble trouble;
  Trouble second;
  Spread spread;
};

Schedule ScheduleOf(std::uint64_t seed) {
  base::Random random(seed * 7919 + 1);
  return {static_cast<Trouble>(random.Below(10)),
          static_cast<Trouble>(random.Below(10)),
          static_cast<Spread>(random.Below(4))};
}

// Number of the first `schedules` schedules that break the bound.
int CountBroken(std::uint64_t schedules, const WorldSettings& settings) {
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    auto [trouble, second, spread] = ScheduleOf(seed);
    Player player(seed, spread, settings);
    player.Play(trouble, second);
    if (player.within_bound())
      continue;
    ++broken;
    std::cout << "seed " << seed << ": " << kTroubleNames.name(trouble) << ", "
              << kTroubleNames.name(second) << ", " << kSpreadNames.name(spread)
              << ": " << player.Describe() << "\n";
  }
  return broken;
}

// Guards against gateways that together run more than an allotment, whatever
// fails.
TEST_CASE("an allotment holds in every window over all gateways") {
  CHECK(CountBroken(Schedules(), {}) == 0);
}

// Guards against a check that finds nothing.
TEST_CASE("the check finds planted faults") {
  for (PlantedFault fault : {PlantedFault::kWholeShare, PlantedFault::kDeaf}) {
    WorldSettings settings;
    settings.fault = fault;
    CHECK(CountBroken(60, settings) > 0);
  }
}

// Guards against refusals of requests that the allotment allows.
TEST_CASE("what is allowed is used, wherever the requests arrive") {
  for (int gateways : {1, 6, 28}) {
    for (Spread spread : {Spread::kOneGateway, Spread::kMoves, Spread::kEven,
                          Spread::kUneven}) {
      WorldSettings settings;
      settings.gateways = gateways;
      Player player(5, spread, settings);
      World& world = player.world();
      for (int gateway = 0; gateway < gateways; ++gateway)
        world.Start(gateway);
      world.RunFor(seconds(17));
      constexpr int kSeconds = 15;
      for (int second = 0; second < kSeconds; ++second) {
        if (second == 0 || spread == Spread::kMoves)
          player.SetDemand(kHot);
        world.RunFor(seconds(1));
      }
      INFO("gateways " << gateways << ", " << kSpreadNames.name(spread));
      double allowed = settings.per_second * kSeconds + settings.burst;
      CHECK(static_cast<double>(world.ran()) >= 0.95 * allowed);
      CHECK(static_cast<double>(world.MostInWindow({})) <=
            world.Bound(settings.per_second, settings.burst));
    }
  }
}

}  // namespace
}  // namespace vanillalever::rate::simulated
