#ifndef VANILLALEVER_FORWARDING_TESTS_MODEL_BUDGET_WORLD_H_
#define VANILLALEVER_FORWARDING_TESTS_MODEL_BUDGET_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/budget_service.h"
#include "vanillalever/forwarding/loop_timer.h"
#include "vanillalever/forwarding/peer_directory.h"
#include "vanillalever/forwarding/store_path.h"

// Gateways that grant tokens of budgets, with their store and network, in
// simulated time: the service under test is BudgetService itself.
namespace vanillalever::forwarding::simulated {

using base::milliseconds;
using base::seconds;
using base::TimePoint;

// What the store does with the calls of one gateway.
enum class StoreMode {
  kOk,
  kRefuse,   // 503, nothing is done
  kSilent,   // no response, nothing is done
  kLost,     // done, no response
  kLate,     // no response; done a second later if the condition still holds
  kErratic,  // one of the above, drawn for each call
};

// After this time a call to the store has no response.
inline constexpr milliseconds kNoResponse{800};

// Events in order of time.
class Schedule {
 public:
  TimePoint now() const { return now_; }
  void At(TimePoint time, std::function<void()> action) {
    events_.emplace(std::max(time, now_), std::move(action));
  }
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

 private:
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> events_;
};

// One run of a gateway process. Everything that it waits for ends with it.
struct Run {
  std::uint64_t id = 0;
  bool alive = true;
  // Nothing runs before: the process stands still.
  TimePoint frozen_until{};
};

class RunTimer final : public LoopTimer {
 public:
  RunTimer(Schedule& schedule, std::shared_ptr<Run> run)
      : schedule_(schedule), run_(std::move(run)) {}
  TimePoint now() const override { return schedule_.now(); }
  void RunAfter(base::Duration delay, std::function<void()> action) override {
    At(schedule_.now() + delay, std::move(action));
  }
  void At(TimePoint time, std::function<void()> action) {
    schedule_.At(time, [this, run = run_, action = std::move(action)] {
      if (!run->alive)
        return;
      if (run->frozen_until > schedule_.now())
        return At(run->frozen_until, action);
      action();
    });
  }
  void Every(base::Duration interval, std::function<void()> action) {
    RunAfter(interval, [this, interval, action] {
      action();
      Every(interval, action);
    });
  }

 private:
  Schedule& schedule_;
  std::shared_ptr<Run> run_;
};

// Rows of the store.
class Rows {
 public:
  TransactionResult Apply(const std::vector<TableWrite>& writes) {
    TransactionResult result;
    for (const TableWrite& write : writes) {
      auto found = rows_.find(write.name.key);
      std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
      if (version != write.expected_version) {
        result.outcome = StoreOutcome::kConflict;
        if (found != rows_.end())
          result.current.push_back(found->second);
      }
    }
    if (result.outcome == StoreOutcome::kConflict)
      return result;
    result.outcome = StoreOutcome::kDone;
    result.version = ++version_;
    for (const TableWrite& write : writes) {
      if (write.value)
        rows_[write.name.key] = {write.name, *write.value, version_, false};
      else
        rows_.erase(write.name.key);
    }
    return result;
  }
  ReadResult Read(const TableRange& range) const {
    ReadResult result;
    result.outcome = StoreOutcome::kDone;
    result.version = version_;
    for (const auto& [key, row] : rows_) {
      if (row.name.partition == range.partition && key >= range.from &&
          (range.to.empty() || key < range.to))
        result.rows.push_back(row);
    }
    return result;
  }

 private:
  std::map<std::string, TableRow> rows_;
  std::uint64_t version_ = 0;
};

class Gateway;

// Settings of one schedule.
struct WorldSettings {
  int gateways = 3;
  std::int64_t budget = 480;
  std::int64_t max_tokens = 40;
  // Tokens after which turns end; zero if they use all that they may.
  std::int64_t used_tokens = 0;
  // Datagrams may be lost.
  bool lossy = false;
};

// Gateways at fixed addresses, programs and what callers were handed.
class World {
 public:
  World(std::uint64_t seed, WorldSettings settings);
  ~World();

  void Start(int address);
  void Kill(int address);
  // Asks the process to stop; it ends a second later.
  void Stop(int address);
  void Freeze(int address, base::Duration duration);
  void SetMode(int address, StoreMode mode) {
    modes_[static_cast<std::size_t>(address)] = mode;
  }
  void SetModes(StoreMode mode) {
    std::fill(modes_.begin(), modes_.end(), mode);
  }
  // The gateway's messages reach no other gateway, or those of the others do
  // not reach it, or both. The store still serves it.
  void CutOff(int address, bool mute, bool deaf) {
    mute_[static_cast<std::size_t>(address)] = mute;
    deaf_[static_cast<std::size_t>(address)] = deaf;
  }
  void Reconnect() {
    std::fill(mute_.begin(), mute_.end(), false);
    std::fill(deaf_.begin(), deaf_.end(), false);
  }
  // Whether messages pass from one gateway to another.
  bool connected(int from, int to) const {
    return !mute_[static_cast<std::size_t>(from)] &&
           !deaf_[static_cast<std::size_t>(to)];
  }
  // A turn of the program arrives at the gateway. `served` is called if it is
  // granted its tokens.
  void Turn(
      int address,
      const std::string& program,
      const std::function<void()>& served = [] {});
  void RunFor(base::Duration duration) {
    schedule.RunUntil(schedule.now() + duration);
  }
  bool alive(int address) const;

  struct Program {
    std::int64_t handed = 0;
    int turns = 0;
    int served = 0;
    BudgetOutcome last = BudgetOutcome::kGranted;
  };
  std::map<std::string, Program> programs;
  Schedule schedule;
  base::Random random;
  WorldSettings settings;

 private:
  friend class Gateway;
  friend class Table;
  friend class Peers;

  Rows rows_;
  std::vector<StoreMode> modes_;
  std::vector<bool> mute_;
  std::vector<bool> deaf_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  // Ended runs: calls of theirs may still be on the way.
  std::vector<std::unique_ptr<Gateway>> ended_;
  // Whether the latest run at the address was killed.
  std::vector<bool> killed_;
  std::uint64_t next_run_ = 1;
};

inline std::string AddressOf(int address) {
  return "10.0.0." + std::to_string(address + 1) + ":7000";
}

// The store as one gateway reaches it: itself, or through another gateway while
// the store does not respond to it.
class Table final : public SharedTable {
 public:
  Table(World& world, RunTimer& timer, int address)
      : world_(world), timer_(timer), address_(address) {}

  // Called when it changes whether the store responds.
  std::function<void()> on_change;
  std::function<std::vector<int>()> relays;
  bool reachable() const { return path_.reachable(); }

  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override {
    Call<TransactionResult>(
        [this, writes] { return world_.rows_.Apply(writes); }, std::move(done),
        true);
  }
  void ReadRange(TableRange range,
                 std::function<void(ReadResult)> done) override {
    Call<ReadResult>([this, range] { return world_.rows_.Read(range); },
                     std::move(done), false);
  }
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)>) override {}

  void Tick() {
    if (path_.TakeSilence(timer_.now()))
      on_change();
    if (path_.TakeProbe(timer_.now()))
      Direct<ReadResult>(
          [this] {
            return world_.rows_.Read({"gateways", "", "probe", ""});
          },
          [](const ReadResult&) {}, false);
  }

 private:
  template <typename Result>
  void Call(std::function<Result()> apply,
            std::function<void(Result)> done,
            bool writes) {
    if (!path_.reachable()) {
      if (std::vector<int> through = relays(); !through.empty())
        return Send<Result>(through[world_.random.Below(through.size())],
                            std::move(apply), std::move(done), writes);
    }
    Direct<Result>(std::move(apply), std::move(done), writes);
  }

  template <typename Result>
  void Direct(std::function<Result()> apply,
              std::function<void(Result)> done,
              bool writes) {
    path_.OnCall(timer_.now());
    Send<Result>(
        address_, std::move(apply),
        [this, done = std::move(done)](Result result) {
          path_.OnCallEnded();
          bool before = path_.reachable();
          if (result.outcome == StoreOutcome::kDone ||
              result.outcome == StoreOutcome::kConflict)
            path_.OnResponse(timer_.now());
          else
            path_.OnFailure();
          if (before != path_.reachable())
            on_change();
          done(std::move(result));
        },
        writes);
  }

  // `writes`: a missing response leaves it open whether the call was done.
  template <typename Result>
  void Send(int as,
            std::function<Result()> apply,
            std::function<void(Result)> done,
            bool writes) {
    auto there = milliseconds(1 + world_.random.Below(4));
    world_.schedule.At(
        world_.schedule.now() + there,
        [this, as, apply = std::move(apply), done = std::move(done), writes,
         timer = &timer_]() mutable {
          auto now = world_.schedule.now();
          Result missing;
          missing.outcome =
              writes ? StoreOutcome::kUnknown : StoreOutcome::kNotDone;
          missing.reason = "no response";
          Result refused;
          refused.outcome = StoreOutcome::kNotDone;
          refused.reason = "status 503";
          // Through another gateway, which does not get the call.
          bool passes = as == address_ || (world_.connected(address_, as) &&
                                           world_.connected(as, address_));
          StoreMode mode = world_.modes_[static_cast<std::size_t>(as)];
          if (mode == StoreMode::kErratic)
            mode = static_cast<StoreMode>(world_.random.Below(5));
          switch (passes ? mode : StoreMode::kSilent) {
            case StoreMode::kOk:
              return timer->At(now + milliseconds(3),
                               [done, result = apply()] { done(result); });
            case StoreMode::kRefuse:
              return timer->At(now + milliseconds(3),
                               [done, refused] { done(refused); });
            case StoreMode::kLost:
              apply();
              break;
            case StoreMode::kLate:
              world_.schedule.At(now + seconds(1), [apply] { apply(); });
              break;
            case StoreMode::kSilent:
            case StoreMode::kErratic:
              break;
          }
          timer->At(now + kNoResponse, [done, missing] { done(missing); });
        });
  }

  World& world_;
  RunTimer& timer_;
  int address_;
  StorePath path_;
};

}  // namespace vanillalever::forwarding::simulated

#endif  // VANILLALEVER_FORWARDING_TESTS_MODEL_BUDGET_WORLD_H_
