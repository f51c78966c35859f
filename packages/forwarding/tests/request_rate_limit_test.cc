#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <utility>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/queue_policy.h"
#include "vanillalever/forwarding/request_rate_limit.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));
// A server may get one and a half times its limit and 5 requests in any 4 s.
constexpr seconds kWindow{4};
constexpr double kTolerance = 1.5;
constexpr double kSurplus = 5;
constexpr milliseconds kTimeLimit{4000};

RateStatement Limit(double per_second, base::TimePoint now) {
  return {per_second, now};
}

struct LoadSettings {
  int gateways = 7;
  int servers = 10;
  double limit = 7;
  // Requests a second to all gateways together.
  double demand = 60;
  // Delay of the announcements, and the fraction of them that is lost.
  milliseconds delay{30};
  double loss = 0.05;
  // Gateways of which the other ones hear nothing, and the reverse.
  int parted = 0;
  std::uint64_t seed = 1;
};

struct LoadResult {
  // Largest number of requests that one server got in kWindow.
  std::size_t most_in_window = 0;
  int refused = 0;
  int sent = 0;
  base::Duration longest_wait{0};
  double sent_per_second = 0;
};

// Plays gateways that place requests at servers which state a limit, and
// announce their requests to each other by messages that may be lost.
class LimitedLoad {
 public:
  explicit LimitedLoad(const LoadSettings& settings)
      : settings_(settings), random_(settings.seed) {
    limits_.resize(static_cast<std::size_t>(settings.gateways));
    for (int i = 0; i < settings.gateways; ++i) {
      limits_[Index(i)].resize(static_cast<std::size_t>(settings.servers));
      double group =
          parted(i) ? settings.parted : settings.gateways - settings.parted;
      for (RequestRateLimit& limit : limits_[Index(i)]) {
        limit.OnStatement(Limit(settings.limit, kStart));
        limit.SetReachableShare(group / settings.gateways);
      }
    }
    RankGateways();
    sends_.resize(static_cast<std::size_t>(settings.servers));
  }

  LoadResult Play(seconds duration) {
    constexpr milliseconds kFullUpdate{300};
    for (milliseconds at{0}; at < duration; at += milliseconds(1)) {
      base::TimePoint now = kStart + at;
      if (random_.Uniform() < settings_.demand / 1000)
        Arrive(now);
      Deliver(now);
      if (at % kFullUpdate == milliseconds(0))
        AnnounceAll(now);
    }
    result_.sent_per_second =
        result_.sent / std::chrono::duration<double>(duration).count();
    for (std::vector<base::TimePoint>& times : sends_)
      CountWindows(times);
    return result_;
  }

 private:
  struct Message {
    int from = 0;
    std::size_t server = 0;
    std::uint32_t total = 0;
    base::TimePoint arrives_at{};
  };

  static std::size_t Index(int gateway) {
    return static_cast<std::size_t>(gateway);
  }
  bool parted(int gateway) const { return gateway < settings_.parted; }

  void RankGateways() {
    std::vector<std::size_t> ranks(limits_.size());
    std::iota(ranks.begin(), ranks.end(), 0);
    for (std::size_t server = 0; server < Index(settings_.servers); ++server) {
      for (std::size_t i = ranks.size(); i > 1; --i)
        std::swap(ranks[i - 1], ranks[random_.Below(i)]);
      for (std::size_t gateway = 0; gateway < limits_.size(); ++gateway)
        limits_[gateway][server].SetRank(ranks[gateway]);
    }
  }

  void Arrive(base::TimePoint now) {
    int gateway = static_cast<int>(
        random_.Below(static_cast<std::uint64_t>(settings_.gateways)));
    auto& limits = limits_[Index(gateway)];
    auto best = std::min_element(
        limits.begin(), limits.end(),
        [](const RequestRateLimit& a, const RequestRateLimit& b) {
          return std::pair(!a.accepts_requests(), a.next_send_at()) <
                 std::pair(!b.accepts_requests(), b.next_send_at());
        });
    auto wait = std::max(base::Duration(0), best->next_send_at() - now);
    if (!best->accepts_requests() ||
        policy_.Decide({wait, kTimeLimit, false}) == QueueDecision::kRefuse) {
      ++result_.refused;
      return;
    }
    best->OnSend(now);
    ++result_.sent;
    result_.longest_wait = std::max(result_.longest_wait, wait);
    auto server = static_cast<std::size_t>(best - limits.begin());
    sends_[server].push_back(now + wait);
    Announce(gateway, server, now);
  }

  void Announce(int gateway, std::size_t server, base::TimePoint now) {
    if (random_.Uniform() >= settings_.loss)
      messages_.push_back({gateway, server,
                           limits_[Index(gateway)][server].sends(),
                           now + settings_.delay});
  }

  void AnnounceAll(base::TimePoint now) {
    for (int gateway = 0; gateway < settings_.gateways; ++gateway) {
      for (std::size_t server = 0; server < sends_.size(); ++server)
        Announce(gateway, server, now);
    }
  }

  void Deliver(base::TimePoint now) {
    std::erase_if(messages_, [&](const Message& message) {
      if (message.arrives_at > now)
        return false;
      for (int to = 0; to < settings_.gateways; ++to) {
        if (to != message.from && parted(to) == parted(message.from))
          limits_[Index(to)][message.server].OnPeerSends(Index(message.from),
                                                         message.total, now);
      }
      return true;
    });
  }

  void CountWindows(std::vector<base::TimePoint>& times) {
    std::sort(times.begin(), times.end());
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= kWindow)
        ++first;
      result_.most_in_window =
          std::max(result_.most_in_window, last - first + 1);
    }
  }

  LoadSettings settings_;
  base::Random random_;
  QueuePolicy policy_;
  std::vector<std::vector<RequestRateLimit>> limits_;
  std::vector<std::vector<base::TimePoint>> sends_;
  std::vector<Message> messages_;
  LoadResult result_;
};

double Allowed(double limit) {
  return kTolerance * limit * std::chrono::duration<double>(kWindow).count() +
         kSurplus;
}

TEST_CASE("no server gets more requests than it states from all gateways") {
  for (int gateways : {1, 7, 41}) {
    for (double limit : {0.0, 0.5, 2.0, 7.0, 40.0}) {
      for (std::uint64_t seed : {1, 2, 3}) {
        LoadSettings settings;
        settings.gateways = gateways;
        settings.limit = limit;
        settings.demand = 400;
        // Many gateways announce through one that relays.
        settings.delay = milliseconds(gateways > 10 ? 60 : 30);
        settings.seed = seed;
        LoadResult result = LimitedLoad(settings).Play(seconds(20));
        INFO("gateways " << gateways << ", limit " << limit << ", seed "
                         << seed);
        CHECK(static_cast<double>(result.most_in_window) <= Allowed(limit));
      }
    }
  }
}

TEST_CASE("a demand below the limits is served without refusals") {
  LoadSettings settings;
  settings.demand = 50;
  LoadResult result = LimitedLoad(settings).Play(seconds(20));
  CHECK(result.refused == 0);
  CHECK(result.sent > 900);
}

TEST_CASE("a demand above the limits uses them up, with short waits") {
  LoadSettings settings;
  settings.demand = 140;
  LoadResult result = LimitedLoad(settings).Play(seconds(20));
  CHECK(result.sent_per_second > 0.9 * settings.limit * settings.servers);
  CHECK(result.longest_wait <= kTimeLimit * 15 / 100);
}

TEST_CASE("parts of a partitioned deployment share the limit") {
  LoadSettings settings;
  settings.parted = 3;
  settings.demand = 400;
  LoadResult result = LimitedLoad(settings).Play(seconds(20));
  CHECK(static_cast<double>(result.most_in_window) <= Allowed(settings.limit));
  CHECK(result.sent_per_second > 0.8 * settings.limit * settings.servers);
}

TEST_CASE("an older statement does not replace a newer one") {
  RequestRateLimit limit;
  CHECK(limit.OnStatement(Limit(5, kStart)));
  CHECK_FALSE(limit.OnStatement({std::nullopt, kStart - seconds(1)}));
  CHECK(limit.per_second() == 5);
  CHECK(limit.OnStatement({std::nullopt, kStart + seconds(1)}));
  CHECK_FALSE(limit.OnStatement(Limit(5, kStart + milliseconds(500))));
  CHECK_FALSE(limit.per_second());
  // Other gateways learn of the end for a while.
  CHECK(limit.recent_statement(kStart + seconds(2)));
  CHECK_FALSE(limit.recent_statement(kStart + seconds(4)));
}

TEST_CASE("requests sent before a gateway was first heard are not counted") {
  RequestRateLimit limit;
  limit.OnStatement(Limit(5, kStart));
  limit.OnPeerSends(1, 4000, kStart);
  CHECK(limit.next_send_at() <= kStart);
  limit.OnPeerSends(1, 4001, kStart);
  CHECK(limit.next_send_at() == kStart + milliseconds(200));
  limit.OnPeerSends(1, 4000, kStart);
  CHECK(limit.next_send_at() == kStart + milliseconds(200));
}

TEST_CASE("a request that may have run waits as long as its deadline") {
  QueuePolicy policy;
  QueuedRequest request{seconds(2), seconds(3), true};
  CHECK(policy.Decide(request) == QueueDecision::kWait);
  request.may_have_run = false;
  CHECK(policy.Decide(request) == QueueDecision::kRefuse);
  request.wait = base::Duration(0);
  CHECK(policy.Decide(request) == QueueDecision::kSend);
  CHECK(policy.RetryAfter(milliseconds(700)) == milliseconds(700));
}

}  // namespace
}  // namespace vanillalever::forwarding
