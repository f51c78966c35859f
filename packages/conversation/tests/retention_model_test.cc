// Model check of the records of conversations: random lines of turns through
// three gateways, which delete records by TurnIndex, in simulated time. Which
// of them watches the index changes at random, and at times several do.

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/conversation/turn_index.h"

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
  kForget,    // the store forgets its history
  kHandOver,  // another gateway watches, beside the one before or in its place
};
constexpr std::size_t kTroubles = 7;
constexpr base::NameTable<Trouble, kTroubles> kTroubleNames({
    "none",
    "kill",
    "outage",
    "freeze",
    "two_retentions",
    "forget",
    "hand_over",
});

constexpr std::size_t kGateways = 3;
constexpr milliseconds kStep{500};
constexpr int kLines = 4;
constexpr int kRetentionsPlayed = 30;

// A change of the index; without an entry, a deletion.
struct Change {
  std::uint64_t version = 0;
  std::string id;
  std::optional<TurnIndexEntry> entry;
};

// A record in the store, and its entry.
struct Row {
  std::uint64_t version = 0;
  TurnIndexEntry entry;
};

// A call to the store on its way, and its response on the way back.
struct Call {
  base::TimePoint arrives{};
  std::function<void()> action;
};

struct Gateway {
  TurnIndex index;
  bool watches = false;
  bool listed = false;
  bool call_open = false;
  std::uint64_t version = 0;
  base::TimePoint known_until{};
  base::TimePoint next_call{};
  base::TimePoint frozen_until{};
};

class World {
 public:
  World(std::uint64_t seed, Trouble trouble, base::Duration retention)
      : random_(seed), trouble_(trouble), retention_(retention) {
    for (auto& gateway : gateways_)
      gateway = std::make_unique<Gateway>();
    gateways_[0]->watches = true;
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
  int deletions() const { return deletions_; }

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
    // Attempts that fail come again elsewhere.
    for (std::size_t i = 1; i < kGateways; ++i) {
      if (gateways_[index]->frozen_until > now_)
        index = (index + 1) % kGateways;
    }
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
    TurnIndexEntry entry{.previous = line.last ? line.last->id : "",
                         .retention = turn->retention,
                         .rows = 1};
    rows_[turn->id] = {++version_, entry};
    history_.push_back({version_, turn->id, entry});
    line.last = turn;
    line.next = now_ + Pause();
    if (longer && random_.Below(3) == 0)
      line.next = now_ + 3 * retention_ + Pause();
    if (random_.Below(60) == 0)
      Begin(line);
  }

  void Tick(Gateway& gateway) {
    if (gateway.frozen_until > now_ || !gateway.watches || gateway.call_open ||
        gateway.next_call > now_)
      return;
    gateway.call_open = true;
    gateway.next_call = now_ + retention_ / 8;
    Send([this, &gateway, sent = now_] {
      if (store_lost_until_ > now_)
        return Reply(gateway, [] {});
      bool history_lost = gateway.version < forgotten_;
      if (!gateway.listed || history_lost)
        return List(gateway);
      std::vector<Change> changes;
      for (const Change& change : history_) {
        if (change.version > gateway.version)
          changes.push_back(change);
      }
      Reply(gateway, [this, &gateway, changes, sent, version = version_] {
        Apply(gateway, changes);
        gateway.version = version;
        gateway.known_until = sent;
        Delete(gateway);
      });
    });
  }

  void List(Gateway& gateway) {
    std::vector<Change> present;
    for (const auto& [id, row] : rows_)
      present.push_back({row.version, id, row.entry});
    Reply(gateway, [this, &gateway, present, version = version_] {
      gateway.index.BeginListing();
      Apply(gateway, present);
      gateway.index.EndListing();
      gateway.version = version;
      gateway.listed = true;
      gateway.next_call = now_;
    });
  }

  void Apply(Gateway& gateway, const std::vector<Change>& changes) {
    for (const Change& change : changes) {
      if (change.entry)
        gateway.index.Put(change.id, *change.entry, change.version, now_);
      else
        gateway.index.Remove(change.id, change.version);
    }
  }

  void Delete(Gateway& gateway) {
    for (const auto& record : gateway.index.TakeExpired(gateway.known_until, 9))
      Send([this, &gateway, record] {
        auto row = rows_.find(record.id);
        bool done = store_lost_until_ <= now_ && row != rows_.end() &&
                    row->second.version == record.version;
        if (done) {
          rows_.erase(row);
          history_.push_back({++version_, record.id, std::nullopt});
          ++deletions_;
        }
        // The response to one in ten deletions is lost.
        bool seen = done && random_.Below(10) > 0;
        Reply(gateway, [this, &gateway, record, seen, version = version_] {
          if (!seen)
            return gateway.index.OnDeleteFailed(record.id, now_);
          gateway.index.Remove(record.id, version);
          Delete(gateway);
        });
      });
  }

  // A response waits for a gateway that stands still.
  void Reply(Gateway& gateway, std::function<void()> action) {
    Send([this, &gateway, action = std::move(action)] {
      if (gateway.frozen_until == base::TimePoint::max())
        return;
      if (gateway.frozen_until > now_)
        return Reply(gateway, action);
      gateway.call_open = false;
      action();
    });
  }

  // A call takes one or two steps. It is done also if its gateway, which stays
  // in `ended_`, is killed meanwhile; the response then reaches nobody.
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
        Watch(random_.Below(kGateways));
        // Its calls are done, but it sends no more.
        gateway->frozen_until = base::TimePoint::max();
        ended_.push_back(std::move(gateway));
        gateway = std::make_unique<Gateway>();
        if (std::none_of(std::begin(gateways_), std::end(gateways_),
                         [](const auto& other) { return other->watches; }))
          gateway->watches = true;
        return;
      case Trouble::kOutage:
        store_lost_until_ = now_ + length;
        return;
      case Trouble::kFreeze:
        // The one that stands still may be the one that watches.
        if (random_.Below(2) == 0)
          Watch(random_.Below(kGateways));
        gateway->frozen_until = now_ + 6 * length;
        return;
      case Trouble::kForget:
        history_.clear();
        forgotten_ = version_;
        return;
      case Trouble::kHandOver:
        Watch(random_.Below(kGateways));
        return;
    }
  }

  // The gateway watches from now on. The others may not have noticed.
  void Watch(std::size_t index) {
    for (auto& gateway : gateways_)
      gateway->watches &= random_.Below(2) == 0;
    gateways_[index]->watches = true;
  }

  base::Random random_;
  Trouble trouble_;
  base::Duration retention_;
  base::TimePoint now_ = base::TimePoint(std::chrono::hours(1));
  std::unique_ptr<Gateway> gateways_[kGateways];
  std::vector<std::unique_ptr<Gateway>> ended_;
  std::map<std::string, Row> rows_;
  std::uint64_t version_ = 0;
  std::vector<Change> history_;
  // Changes up to this version are not in the history any more.
  std::uint64_t forgotten_ = 0;
  std::vector<Call> calls_;
  Line lines_[kLines];
  base::TimePoint store_lost_until_{};
  base::TimePoint next_disturbance_ = now_ + 2 * retention_;
  int turns_ = 0;
  int lost_ = 0;
  int deletions_ = 0;
};

// Schedules by hand: VL_RETENTION_SCHEDULES=100000.
int Schedules() {
  const char* text = std::getenv("VL_RETENTION_SCHEDULES");
  return text == nullptr ? 400 : std::atoi(text);
}

// Guards against review/6, review/12 and their relatives: a record that one
// gateway deletes while the conversation goes on through others, and records
// that stay in the store for ever.
TEST_CASE("no record of a conversation that goes on is deleted") {
  int turns = 0;
  int lost = 0;
  int deletions = 0;
  for (int seed = 0; seed < Schedules(); ++seed) {
    auto trouble = static_cast<Trouble>(seed % static_cast<int>(kTroubles));
    // From a tick of the gateway to the longest of the users' sites.
    constexpr seconds kRetentions[] = {seconds(6), seconds(20), seconds(60)};
    World world(static_cast<std::uint64_t>(seed), trouble,
                kRetentions[seed / static_cast<int>(kTroubles) % 3]);
    int lost_here = world.Play();
    INFO("seed " << seed << " trouble " << kTroubleNames.name(trouble));
    CHECK(lost_here == 0);
    turns += world.turns();
    lost += lost_here;
    deletions += world.deletions();
    world.Rest(seconds(60) * 40);
    CHECK(world.rows() == 0);
  }
  std::cout << "turns " << turns << ", conversations lost " << lost
            << ", records deleted " << deletions << "\n";
}

}  // namespace
}  // namespace vanillalever::conversation
