// Model check of the records of conversations: random lines of turns through
// three gateways, which renew and delete records by RetentionSchedule, in
// simulated time.

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/conversation/retention_schedule.h"

namespace vanillalever::conversation {
namespace {

using base::milliseconds;
using base::seconds;

enum class Trouble {
  kNone,
  kKill,    // a gateway is replaced by one that knows nothing
  kOutage,  // calls to the store fail for up to half a retention time
  kFreeze,  // a gateway stands still for up to half a retention time
  kTwoRetentions,
};
constexpr base::NameTable<Trouble, 5> kTroubleNames({
    "none",
    "kill",
    "outage",
    "freeze",
    "two_retentions",
});

constexpr std::size_t kGateways = 3;
constexpr milliseconds kStep{500};
constexpr int kLines = 4;
constexpr int kRetentionsPlayed = 30;

struct Row {
  std::uint64_t version = 0;
  base::Duration retention{};
};

// A call to the store on its way.
struct Call {
  base::TimePoint arrives{};
  std::function<void()> action;
};

struct Gateway {
  RetentionSchedule schedule;
  base::TimePoint frozen_until{};
};

class World {
 public:
  World(std::uint64_t seed, Trouble trouble, base::Duration retention)
      : random_(seed), trouble_(trouble), retention_(retention) {
    for (auto& gateway : gateways_)
      gateway = std::make_unique<Gateway>();
  }

  // Returns the number of turns that were named within their retention time and
  // whose conversation was incomplete by then.
  int Play() {
    base::TimePoint end = now_ + kRetentionsPlayed * retention_;
    for (auto& line : lines_)
      Begin(line);
    for (; now_ < end; now_ += kStep) {
      Disturb();
      Deliver();
      for (auto& gateway : gateways_)
        Tick(*gateway);
      for (auto& line : lines_) {
        if (line.next <= now_)
          Continue(line);
      }
    }
    return lost_;
  }

  std::size_t rows() const { return rows_.size(); }
  int turns() const { return turns_; }
  int rewrites() const { return rewrites_; }

  // Time in which nothing is continued.
  void Rest(base::Duration duration) {
    base::TimePoint end = now_ + duration;
    for (; now_ < end; now_ += kStep) {
      Deliver();
      for (auto& gateway : gateways_)
        Tick(*gateway);
    }
  }

 private:
  struct Line {
    TurnPtr last;
    base::TimePoint next{};
    std::size_t home = 0;
    // One in this many turns comes through another gateway.
    std::uint64_t stray = 0;
  };

  // Up to nine tenths of the shortest retention time.
  base::Duration Pause() {
    return base::Duration(static_cast<std::int64_t>(random_.Below(
        static_cast<std::uint64_t>(retention_.count()) * 9 / 10)));
  }

  void Begin(Line& line) {
    line.last = nullptr;
    line.home = random_.Below(kGateways);
    line.stray = 1 + random_.Below(20);
    line.next = now_ + Pause();
  }

  void Continue(Line& line) {
    bool stray = line.last && random_.Below(line.stray) == 0;
    std::size_t index = stray ? random_.Below(kGateways) : line.home;
    Gateway& gateway = *gateways_[index];
    if (gateway.frozen_until > now_ || store_lost_until_ > now_) {
      // The caller comes again.
      line.next = now_ + kStep;
      return;
    }
    for (const Turn* turn = line.last.get(); turn != nullptr;
         turn = turn->previous.get()) {
      if (rows_.contains(turn->id))
        continue;
      ++lost_;
      return Begin(line);
    }
    auto turn = std::make_shared<Turn>();
    turn->id = "t" + std::to_string(++turns_);
    turn->previous = line.last;
    // The shorter one is not below the pauses of the lines.
    bool longer = trouble_ == Trouble::kTwoRetentions && random_.Below(2) == 0;
    turn->retention = longer ? 4 * retention_ : retention_;
    rows_[turn->id] = {++version_, turn->retention};
    gateway.schedule.OnRecorded(turn, {turn->id, version_, 1}, now_);
    line.last = turn;
    line.next = now_ + Pause();
    if (longer && random_.Below(3) == 0)
      line.next = now_ + 3 * retention_ + Pause();
    if (random_.Below(60) == 0)
      Begin(line);
  }

  void Tick(Gateway& gateway) {
    if (gateway.frozen_until > now_)
      return;
    for (const auto& record : gateway.schedule.TakeExpired(now_))
      Send([this, record] {
        auto row = rows_.find(record.id);
        if (store_lost_until_ <= now_ && row != rows_.end() &&
            row->second.version == record.version)
          rows_.erase(row);
      });
    for (const auto& renewal : gateway.schedule.TakeRenewals(now_))
      Renew(gateway, renewal);
  }

  void Renew(Gateway& gateway, const RetentionSchedule::Renewal& renewal) {
    Send([this, &gateway, renewal] {
      if (store_lost_until_ > now_)
        return gateway.schedule.OnRenewalFailed(renewal.id, false, now_);
      auto row = rows_.find(renewal.id);
      if (row == rows_.end())
        return gateway.schedule.OnLost(renewal.id);
      Row read = row->second;
      if (read.version == renewal.version &&
          read.retention >= renewal.retention)
        return gateway.schedule.OnUnchanged(renewal.id);
      Send([this, &gateway, renewal, read] {
        if (store_lost_until_ > now_)
          return gateway.schedule.OnRenewalFailed(renewal.id, false, now_);
        auto present = rows_.find(renewal.id);
        if (present == rows_.end() || present->second.version != read.version)
          return gateway.schedule.OnRenewalFailed(renewal.id, true, now_);
        auto retention = std::max(read.retention, renewal.retention);
        present->second = {++version_, retention};
        ++rewrites_;
        gateway.schedule.OnRewritten({renewal.id, version_, 1}, retention,
                                     now_);
      });
    });
  }

  // A call takes one or two steps. It is done also if its gateway, which stays
  // in `ended_`, is killed meanwhile.
  void Send(std::function<void()> action) {
    calls_.push_back({now_ + kStep * static_cast<int>(1 + random_.Below(2)),
                      std::move(action)});
  }

  void Deliver() {
    std::vector<Call> waiting = std::exchange(calls_, {});
    for (Call& call : waiting) {
      if (call.arrives > now_)
        calls_.push_back(std::move(call));
      else
        call.action();
    }
  }

  void Disturb() {
    if (now_ < next_disturbance_)
      return;
    // Seldom enough for one to be over before the next.
    next_disturbance_ = now_ + 2 * retention_;
    auto length = base::Duration(static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(retention_.count()) / 2)));
    auto& gateway = gateways_[random_.Below(kGateways)];
    switch (trouble_) {
      case Trouble::kNone:
      case Trouble::kTwoRetentions:
        return;
      case Trouble::kKill:
        ended_.push_back(std::move(gateway));
        gateway = std::make_unique<Gateway>();
        return;
      case Trouble::kOutage:
        store_lost_until_ = now_ + length;
        return;
      case Trouble::kFreeze:
        gateway->frozen_until = now_ + length;
        return;
    }
  }

  base::Random random_;
  Trouble trouble_;
  base::Duration retention_;
  base::TimePoint now_ = base::TimePoint(std::chrono::hours(1));
  std::unique_ptr<Gateway> gateways_[kGateways];
  std::vector<std::unique_ptr<Gateway>> ended_;
  std::map<std::string, Row> rows_;
  std::uint64_t version_ = 0;
  std::vector<Call> calls_;
  Line lines_[kLines];
  base::TimePoint store_lost_until_{};
  base::TimePoint next_disturbance_ = now_ + 2 * retention_;
  int turns_ = 0;
  int lost_ = 0;
  int rewrites_ = 0;
};

// Schedules by hand: VL_RETENTION_SCHEDULES=100000.
int Schedules() {
  const char* text = std::getenv("VL_RETENTION_SCHEDULES");
  return text == nullptr ? 400 : std::atoi(text);
}

// Guards against review/6 and its relatives: a record that one gateway deletes
// while the conversation goes on through others.
TEST_CASE("no record of a conversation that goes on is deleted") {
  int turns = 0;
  int lost = 0;
  int rewrites = 0;
  for (int seed = 0; seed < Schedules(); ++seed) {
    auto trouble = static_cast<Trouble>(seed % 5);
    // From a tick of the gateway to the longest of the users' sites.
    constexpr seconds kRetentions[] = {seconds(6), seconds(20), seconds(60)};
    World world(static_cast<std::uint64_t>(seed), trouble,
                kRetentions[seed / 5 % 3]);
    int lost_here = world.Play();
    INFO("seed " << seed << " trouble " << kTroubleNames.name(trouble));
    CHECK(lost_here == 0);
    turns += world.turns();
    lost += lost_here;
    rewrites += world.rewrites();
    // Those of killed gateways and those that were to be deleted in an outage
    // stay; nobody knows them any more.
    if (trouble != Trouble::kKill && trouble != Trouble::kOutage) {
      world.Rest(seconds(60) * 20);
      CHECK(world.rows() == 0);
    }
  }
  std::cout << "turns " << turns << ", conversations lost " << lost
            << ", records written again " << rewrites << "\n";
}

}  // namespace
}  // namespace vanillalever::conversation
