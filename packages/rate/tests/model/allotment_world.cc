#include "allotment_world.h"

#include <algorithm>

namespace vanillalever::rate::simulated {
namespace {

constexpr milliseconds kStep{5};
constexpr int kStepsPerAnnouncement = 4;
constexpr int kStepsPerTick = 20;
constexpr int kStepsPerCompleteMessage = 60;
constexpr seconds kRetention{15};
// The caller leaves a request that waits longer.
constexpr int kMaxQueued = 200;
const AllotmentSettings book_settings;

}  // namespace

World::World(std::uint64_t seed, WorldSettings world_settings)
    : settings(world_settings),
      random(seed),
      limits_{{"acme", settings.per_second, settings.burst}},
      gateways_(static_cast<std::size_t>(settings.gateways)) {}

void World::Start(int gateway) {
  Gateway& started = at(gateway);
  started.run = next_run_++;
  started.book = std::make_unique<AllotmentBook>(book_settings, random.Next());
  started.heard.clear();
  started.listed_at = now_;
  started.queued = 0;
  started.frozen_until = {};
  started.book->SetReach(Reach(started), now_);
  started.book->SetLimits(limits_, now_);
}

void World::Kill(int gateway) {
  at(gateway).book.reset();
}

void World::Freeze(int gateway, base::Duration time) {
  at(gateway).frozen_until = now_ + time;
}

void World::SetPart(int gateway, int part) {
  at(gateway).part = part;
}

void World::SetLimit(double per_second, double burst) {
  limits_ = {{"acme", per_second, burst}};
  for (Gateway& gateway : gateways_) {
    if (gateway.book)
      gateway.book->SetLimits(limits_, now_);
  }
}

void World::SetDemand(int gateway, double per_second) {
  at(gateway).demand = per_second;
}

void World::RunFor(base::Duration time) {
  for (base::TimePoint end = now_ + time; now_ < end; now_ += kStep)
    Step();
}

double World::Bound(double per_second, double burst) const {
  double window = std::chrono::duration<double>(book_settings.window).count();
  return (per_second * window + burst) * (1 + settings.excess) + settings.slack;
}

std::size_t World::MostInWindow(base::TimePoint since) const {
  std::size_t most = 0;
  auto first = std::lower_bound(ran_.begin(), ran_.end(), since);
  for (auto last = first; last != ran_.end(); ++last) {
    while (*last - *first >= book_settings.window)
      ++first;
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

GatewayReach World::Reach(const Gateway& gateway) const {
  GatewayReach reach;
  if (settings.fault == PlantedFault::kWholeShare)
    return {1, gateways_.size()};
  std::size_t in_contact = 1;
  for (int other = 0; other < settings.gateways; ++other) {
    if (&at(other) == &gateway)
      continue;
    auto heard = gateway.heard.find(other);
    base::TimePoint since =
        heard == gateway.heard.end() ? gateway.listed_at : heard->second;
    reach.gateways += now_ - since <= kRetention ? 1 : 0;
    in_contact += heard != gateway.heard.end() &&
                          now_ - heard->second <= book_settings.silence
                      ? 1
                      : 0;
  }
  reach.share =
      static_cast<double>(in_contact) / static_cast<double>(reach.gateways);
  return reach;
}

void World::Arrive(Gateway& gateway) {
  gateway.book->SetReach(Reach(gateway), now_);
  if (!gateway.book->Take("acme", now_))
    ran_.push_back(now_);
}

void World::Announce(int from, const std::vector<AllotmentUse>& uses) {
  for (int to = 0; to < settings.gateways; ++to) {
    if (to == from || random.Uniform() < settings.loss)
      continue;
    auto late = milliseconds(random.Uniform() < 0.02 ? random.Below(200) : 0);
    messages_.push_back(
        {from, to, at(from).run, uses, now_ + settings.delay + late});
  }
}

void World::Deliver() {
  // A frozen gateway gets what has queued up when it wakes.
  std::vector<Message> due;
  std::erase_if(messages_, [&](const Message& message) {
    if (message.arrives_at > now_ || at(message.to).frozen_until > now_)
      return false;
    due.push_back(message);
    return true;
  });
  for (const Message& message : due) {
    Gateway& to = at(message.to);
    if (!to.book || to.part != at(message.from).part)
      continue;
    to.heard[message.from] = now_;
    if (settings.fault == PlantedFault::kDeaf)
      continue;
    to.book->OnPeerMessage(message.run, now_);
    for (const AllotmentUse& use : message.uses)
      to.book->OnPeerUse(message.run, use, now_);
  }
}

void World::Step() {
  ++steps_;
  Deliver();
  for (int number = 0; number < settings.gateways; ++number) {
    Gateway& gateway = at(number);
    double expected =
        gateway.demand * std::chrono::duration<double>(kStep).count();
    int arrivals = static_cast<int>(expected);
    arrivals += random.Uniform() < expected - arrivals ? 1 : 0;
    if (!gateway.book)
      continue;
    gateway.queued = std::min(gateway.queued + arrivals, kMaxQueued);
    if (gateway.frozen_until > now_)
      continue;
    for (; gateway.queued > 0; --gateway.queued)
      Arrive(gateway);
    // The gateways' timers do not run at the same moment.
    std::int64_t offset = steps_ + number;
    if (offset % kStepsPerTick == 0) {
      gateway.book->SetReach(Reach(gateway), now_);
      gateway.book->RemoveSilentPeers(now_);
    }
    if (offset % kStepsPerCompleteMessage == 0)
      Announce(number, gateway.book->Repeated(now_));
    if (offset % kStepsPerAnnouncement == 0) {
      if (auto changes = gateway.book->TakeChanges(); !changes.empty())
        Announce(number, changes);
    }
  }
}

}  // namespace vanillalever::rate::simulated
