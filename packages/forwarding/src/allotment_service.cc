#include "vanillalever/forwarding/allotment_service.h"

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

// With many gateways the reach is not determined for every request.
constexpr base::milliseconds kReachAge{50};

std::string Milliseconds(base::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<base::milliseconds>(duration).count());
}

}  // namespace

AllotmentService::AllotmentService(AllotmentPeers& peers,
                                   rate::AllotmentSettings settings,
                                   AllotmentCounters counters,
                                   std::uint64_t seed)
    : peers_(peers),
      settings_(settings),
      counters_(counters),
      book_(settings, seed) {}

void AllotmentService::ApplyConfig(const RouteConfig& config) {
  std::vector<rate::AllotmentLimit> limits;
  for (const organisation::Organisation& each : config.organisations)
    limits.push_back({each.name, each.rate_per_second, each.burst});
  auto now = base::TimePoint::clock::now();
  UpdateReach(now);
  book_.SetLimits(limits, now);
}

void AllotmentService::UpdateReach(base::TimePoint now) {
  reach_updated_at_ = now;
  book_.SetReach(peers_.Reach(settings_.silence, now), now);
}

void AllotmentService::Tick() {
  auto now = base::TimePoint::clock::now();
  UpdateReach(now);
  if (book_.empty())
    return;
  book_.RemoveSilentPeers(now);
  book_.RemoveEnded(now);
  for (const rate::AllotmentEpisode& episode : book_.TakeEnded(now)) {
    counters_.over.Add(-1);
    base::LogEvent(base::LogLevel::kInfo, "allotment_exceeded_until_now",
                   {{"organisation", episode.organisation},
                    {"taken", std::to_string(episode.taken)},
                    {"refused", std::to_string(episode.refused)},
                    {"lasted_ms", Milliseconds(episode.lasted)}});
  }
}

std::optional<base::Duration> AllotmentService::Take(
    const organisation::Organisation& caller) {
  if (!book_.limits(caller.name))
    return std::nullopt;
  auto now = base::TimePoint::clock::now();
  if (now - reach_updated_at_ >= kReachAge)
    UpdateReach(now);
  std::optional<rate::AllotmentRefusal> refusal = book_.Take(caller.name, now);
  if (!refusal) {
    counters_.taken.Add();
    peers_.OnAllotmentsChanged();
    return std::nullopt;
  }
  counters_.refused.Add();
  if (refusal->begins) {
    counters_.over.Add(1);
    base::LogEvent(base::LogLevel::kInfo, "allotment_exceeded",
                   {{"organisation", caller.name},
                    {"rate", std::to_string(caller.rate_per_second)},
                    {"burst", std::to_string(caller.burst)},
                    {"share", std::to_string(book_.reach().share)},
                    {"gateways", std::to_string(book_.reach().gateways)},
                    {"retry_after_ms", Milliseconds(refusal->retry_after)}});
  }
  return refusal->retry_after;
}

void AllotmentService::Return(const std::string& organisation) {
  counters_.returned.Add();
  book_.Return(organisation);
  peers_.OnAllotmentsChanged();
}

void AllotmentService::OnPeerMessage(std::uint64_t peer, base::TimePoint now) {
  book_.OnPeerMessage(peer, now);
}

void AllotmentService::OnPeerUse(std::uint64_t peer,
                                 const rate::AllotmentUse& use,
                                 base::TimePoint now) {
  book_.OnPeerUse(peer, use, now);
}

std::vector<rate::AllotmentUse> AllotmentService::TakeChanges() {
  return book_.TakeChanges();
}

std::vector<rate::AllotmentUse> AllotmentService::Repeated(
    base::TimePoint now) const {
  return book_.Repeated(now);
}

}  // namespace vanillalever::forwarding
