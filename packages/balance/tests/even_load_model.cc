#include "even_load_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <queue>

#include "vanillalever/balance/level_choice.h"
#include "vanillalever/base/random.h"

namespace vanillalever::balance {
namespace {

// Requests that begin in this time are not measured.
constexpr double kWarmUpMs = 3000;

class EvenLoadModel {
 public:
  explicit EvenLoadModel(const ModelSettings& settings)
      : settings_(settings),
        random_(settings.seed),
        choice_random_(settings.seed + 1),
        servers_(static_cast<std::size_t>(settings.servers)),
        known_(servers_.size()),
        own_(static_cast<std::size_t>(settings.gateways),
             std::vector<Counts>(servers_.size())) {}

  ModelResult Play() {
    double rate = settings_.load * settings_.servers * settings_.slots /
                  settings_.mean_ms;
    double end = settings_.seconds * 1000;
    double next = 0;
    while (next < end) {
      Advance(next);
      Arrive(next);
      bool burst = next >= end / 3 && next < end / 3 + settings_.burst_ms;
      next -= std::log(1 - random_.Uniform()) /
              (burst ? rate * settings_.burst_factor : rate);
    }
    ModelResult result;
    std::sort(waits_.begin(), waits_.end());
    for (double wait : waits_)
      result.mean_wait_ms += wait / static_cast<double>(waits_.size());
    result.p99_wait_ms = waits_[waits_.size() * 99 / 100];
    result.uneven_share = uneven_ / static_cast<double>(waits_.size());
    return result;
  }

 private:
  struct Server {
    int open = 0;
    // Times at which the slots become free.
    std::priority_queue<double, std::vector<double>, std::greater<>> busy;
  };
  // Requests of one gateway at a server: in truth, and as the others know.
  struct Counts {
    int open = 0;
    int announced = 0;
  };
  struct Change {
    double at = 0;
    std::size_t gateway = 0;
    std::size_t server = 0;
    int change = 0;
    bool operator>(const Change& other) const { return at > other.at; }
  };

  void Advance(double now) {
    while (!ends_.empty() && ends_.top().at <= now) {
      Change end = ends_.top();
      ends_.pop();
      Apply(end);
    }
    while (!news_.empty() && news_.front().at <= now) {
      const Change& change = news_.front();
      known_[change.server] += change.change;
      own_[change.gateway][change.server].announced += change.change;
      news_.pop_front();
    }
  }

  void Apply(Change change) {
    servers_[change.server].open += change.change;
    own_[change.gateway][change.server].open += change.change;
    change.at += settings_.news_ms;
    news_.push_back(change);
  }

  void Arrive(double now) {
    auto gateway = static_cast<std::size_t>(
        random_.Below(static_cast<std::uint64_t>(settings_.gateways)));
    double work = -std::log(1 - random_.Uniform()) * settings_.mean_ms;
    std::size_t index = Choose(gateway);
    Server& server = servers_[index];
    double start = now;
    while (!server.busy.empty() && server.busy.top() <= now)
      server.busy.pop();
    if (server.busy.size() >= static_cast<std::size_t>(settings_.slots)) {
      start = server.busy.top();
      server.busy.pop();
    }
    server.busy.push(start + work);
    Apply({now, gateway, index, 1});
    ends_.push({start + work, gateway, index, -1});
    if (now < kWarmUpMs)
      return;
    waits_.push_back(start - now);
    uneven_ += UnevenShare();
  }

  double UnevenShare() const {
    int over = 0;
    bool free = false;
    for (const Server& server : servers_) {
      over += server.open > settings_.slots ? 1 : 0;
      free |= server.open <= settings_.slots / 2;
    }
    return free ? static_cast<double>(over) / settings_.servers : 0;
  }

  // Requests of other gateways at the server, as this gateway knows.
  int Others(std::size_t gateway, std::size_t server) const {
    return known_[server] - own_[gateway][server].announced;
  }

  int Known(std::size_t gateway, std::size_t server) const {
    if (settings_.policy == ModelPolicy::kPerfect)
      return servers_[server].open;
    return own_[gateway][server].open + Others(gateway, server);
  }

  std::size_t RandomServer() {
    return static_cast<std::size_t>(choice_random_.Below(servers_.size()));
  }

  // Of the servers first, first + step and so on.
  std::size_t LeastKnown(std::size_t gateway,
                         std::size_t first,
                         std::size_t step) {
    std::size_t best = first;
    std::uint64_t ties = 0;
    for (std::size_t i = first; i < servers_.size(); i += step) {
      int difference = Known(gateway, i) - Known(gateway, best);
      if (difference > 0)
        continue;
      ties = difference < 0 ? 1 : ties + 1;
      if (choice_random_.Below(ties) == 0)
        best = i;
    }
    return best;
  }

  std::size_t ChooseWeighted(std::size_t gateway, bool idle_only) {
    double total = 0;
    std::size_t chosen = RandomServer();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      int known = Known(gateway, i);
      double weight = 1.0 / (1 + known);
      if (idle_only)
        weight = known < settings_.slots ? 1 : 0;
      total += weight;
      if (weight > 0 && choice_random_.Uniform() * total < weight)
        chosen = i;
    }
    return chosen;
  }

  std::size_t ChooseLevel(std::size_t gateway) {
    auto age = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double, std::milli>(settings_.news_ms));
    std::vector<Candidate> candidates(servers_.size());
    double unseen = 0;
    double step = settings_.mean_ms / settings_.slots;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      double others = Others(gateway, i);
      double known = own_[gateway][i].open + others;
      double ended =
          known - OpenAfter(known, settings_.slots, age, settings_.mean_ms);
      if (known > 0)
        ended *= others / known;
      unseen += ended;
      double open = known - ended;
      Candidate& candidate = candidates[i];
      candidate.free_places = std::max(0.0, settings_.slots - open);
      candidate.step_ms = step / 10;
      candidate.full_step_ms = step;
      candidate.base_ms = std::min<double>(open, settings_.slots) * step / 10 +
                          std::max(0.0, open - settings_.slots) * step;
    }
    return ChooseByLevel(candidates, unseen, 0.5, choice_random_).index;
  }

  std::size_t Choose(std::size_t gateway) {
    switch (settings_.policy) {
      case ModelPolicy::kRandom:
        return RandomServer();
      case ModelPolicy::kLeastKnown:
      case ModelPolicy::kPerfect:
        return LeastKnown(gateway, 0, 1);
      case ModelPolicy::kTwoChoices: {
        std::size_t first = RandomServer();
        std::size_t second = RandomServer();
        return Known(gateway, first) <= Known(gateway, second) ? first : second;
      }
      case ModelPolicy::kJoinIdle:
        return ChooseWeighted(gateway, true);
      case ModelPolicy::kWeighted:
        return ChooseWeighted(gateway, false);
      case ModelPolicy::kSubset:
        return LeastKnown(gateway, gateway % 5, 5);
      case ModelPolicy::kLevel:
        return ChooseLevel(gateway);
    }
    return 0;
  }

  ModelSettings settings_;
  // Arrivals and work, the same for all policies.
  base::Random random_;
  base::Random choice_random_;
  std::vector<Server> servers_;
  // Announced requests of all gateways, by server.
  std::vector<int> known_;
  std::vector<std::vector<Counts>> own_;
  std::priority_queue<Change, std::vector<Change>, std::greater<>> ends_;
  std::deque<Change> news_;
  std::vector<double> waits_;
  double uneven_ = 0;
};

}  // namespace

ModelResult PlayEvenLoad(const ModelSettings& settings) {
  return EvenLoadModel(settings).Play();
}

}  // namespace vanillalever::balance
