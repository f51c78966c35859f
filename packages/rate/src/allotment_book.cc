#include "vanillalever/rate/allotment_book.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::rate {
namespace {

// Half-life of the counts by which returning callers are spread.
constexpr double kHalfLifeSeconds = 2;
// While the other gateways are not known.
constexpr base::milliseconds kUnknownRetryAfter{500};
// Smallest share of the rate that a gateway is taken to use.
constexpr double kMinShare = 1e-3;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

base::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

AllotmentBook::AllotmentBook(AllotmentSettings settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

RateLimit AllotmentBook::Limit(const AllotmentLimit& limit) const {
  double allotment = limit.per_second * Seconds(settings_.window) + limit.burst;
  double tolerance = settings_.excess * allotment + settings_.slack;
  double extra = settings_.usable * tolerance -
                 limit.per_second * Seconds(settings_.unknown);
  double credit = limit.burst + std::max(extra, 0.0);
  // What was taken before the window is not judged any more.
  return {limit.per_second, FromSeconds(credit / limit.per_second),
          settings_.window};
}

void AllotmentBook::SetLimits(const std::vector<AllotmentLimit>& limits,
                              base::TimePoint now) {
  std::set<std::string> listed;
  for (const AllotmentLimit& limit : limits) {
    if (limit.per_second <= 0)
      continue;
    listed.insert(limit.organisation);
    auto [found, added] = entries_.try_emplace(limit.organisation);
    Entry& entry = found->second;
    if (added)
      AddEntry(limit, entry, now);
    else
      entry.rate.SetLimit(Limit(limit), now);
    entry.per_second = limit.per_second;
    entry.ended_at.reset();
  }
  for (auto& [name, entry] : entries_) {
    if (!entry.ended_at && !listed.contains(name))
      entry.ended_at = now;
  }
  limited_before_ = true;
}

void AllotmentBook::AddEntry(const AllotmentLimit& limit,
                             Entry& entry,
                             base::TimePoint now) {
  entry.organisation = limit.organisation;
  entry.hash = static_cast<std::uint32_t>(base::Hash64(limit.organisation));
  entry.rate.SetReachableShare(std::max(reach_.share, kMinShare));
  entry.rate.SetLimit(Limit(limit), now);
  // An allotment that begins while this process runs is unused.
  entry.rate.Restart(limited_before_ ? base::TimePoint{}
                                     : now + settings_.resumption);
  by_hash_.emplace(entry.hash, &entry);
}

void AllotmentBook::RemoveEnded(base::TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    if (!entry.ended_at || now - *entry.ended_at < settings_.window) {
      ++it;
      continue;
    }
    std::erase_if(by_hash_,
                  [&entry](const auto& item) { return item.second == &entry; });
    it = entries_.erase(it);
  }
}

void AllotmentBook::SetReach(const GatewayReach& reach, base::TimePoint now) {
  bool paused = reach_set_at_ != base::TimePoint{} &&
                now - reach_set_at_ > settings_.silence;
  reach_set_at_ = now;
  if (paused)
    resuming_until_ = now + settings_.resumption;
  double before = std::exchange(reach_, reach).share;
  if (now < resuming_until_)
    reach_.share = std::min(
        reach.share,
        1 / static_cast<double>(std::max<std::size_t>(reach.gateways, 1)));
  if (reach_.share < 1)
    apart_until_ = now + settings_.repeated;
  if (before == reach_.share)
    return;
  double share = std::max(reach_.share, kMinShare);
  for (auto& [name, entry] : entries_) {
    if (reach_.share < before)
      entry.rate.LoseContact(share, now);
    else
      entry.rate.SetReachableShare(share);
  }
}

std::optional<AllotmentRefusal> AllotmentBook::Take(
    const std::string& organisation,
    base::TimePoint now) {
  auto found = entries_.find(organisation);
  if (found == entries_.end() || found->second.ended_at)
    return std::nullopt;
  Entry& entry = found->second;
  if (reach_.share <= 0 || entry.rate.next_at() > now)
    return Refuse(entry, now);
  entry.rate.Take(now);
  entry.last_taken_at = now;
  ++entry.unannounced;
  changed_.insert(organisation);
  CountRecent(entry, 1, 1, now);
  if (entry.over_since)
    ++entry.episode_taken;
  return std::nullopt;
}

AllotmentRefusal AllotmentBook::Refuse(Entry& entry, base::TimePoint now) {
  AllotmentRefusal refusal;
  if (!entry.over_since) {
    refusal.begins = true;
    entry.over_since = now;
    entry.episode_taken = 0;
    entry.episode_refused = 0;
  }
  entry.last_refused_at = now;
  ++entry.episode_refused;
  if (reach_.share <= 0) {
    refusal.retry_after = kUnknownRetryAfter;
    return refusal;
  }
  CountRecent(entry, 0, 0, now);
  // Each refused caller is told a time of its own. The first ones may use the
  // whole rate; when there are many, at other gateways too, this one leaves
  // them the part of the rate that it has used itself.
  double least = 1 / static_cast<double>(reach_.gateways);
  double fraction =
      std::max(least, (entry.own_recent + least) / (entry.all_recent + 1));
  double spacing =
      std::min(static_cast<double>(entry.episode_refused), 1 / fraction);
  base::Duration interval =
      std::min(FromSeconds(spacing / (entry.per_second * reach_.share)),
               settings_.window);
  entry.returns_until =
      std::max({entry.returns_until, entry.rate.next_at(), now});
  base::TimePoint latest = now + settings_.window;
  bool in_window = entry.returns_until + interval <= latest;
  refusal.retry_after =
      in_window ? entry.returns_until - now +
                      FromSeconds(Seconds(interval) * random_.Uniform())
                : FromSeconds(Seconds(settings_.window) *
                              (0.5 + 0.5 * random_.Uniform()));
  entry.returns_until = std::min(entry.returns_until + interval, latest);
  return refusal;
}

void AllotmentBook::CountRecent(Entry& entry,
                                double own,
                                double all,
                                base::TimePoint now) {
  double decay = std::exp2(-Seconds(now - entry.decayed_at) / kHalfLifeSeconds);
  entry.decayed_at = now;
  entry.own_recent = entry.own_recent * decay + own;
  entry.all_recent = entry.all_recent * decay + all;
}

void AllotmentBook::Return(const std::string& organisation) {
  auto found = entries_.find(organisation);
  if (found == entries_.end())
    return;
  found->second.rate.Return();
  changed_.insert(organisation);
}

bool AllotmentBook::limits(const std::string& organisation) const {
  auto found = entries_.find(organisation);
  return found != entries_.end() && !found->second.ended_at;
}

void AllotmentBook::OnPeerMessage(std::uint64_t peer, base::TimePoint now) {
  Peer& known = peers_[peer];
  if (now - known.last_message_at > settings_.silence)
    known.interrupted_until = now + settings_.silence;
  known.last_message_at = now;
}

void AllotmentBook::OnPeerUse(std::uint64_t peer,
                              const AllotmentUse& use,
                              base::TimePoint now) {
  Peer& known = peers_[peer];
  known.last_use_at = now;
  bool steady = known.interrupted_until <= now &&
                now - known.last_message_at <= settings_.silence;
  auto [first, last] = by_hash_.equal_range(use.organisation);
  for (auto found = first; found != last; ++found) {
    Entry& entry = *found->second;
    entry.rate.OnPeerTotals(
        peer, use.totals, use.recent,
        steady ? PeerContact::kSteady : PeerContact::kInterrupted, now);
    CountRecent(entry, 0, use.recent, now);
  }
}

void AllotmentBook::RemoveSilentPeers(base::TimePoint now) {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    base::TimePoint last =
        std::max(peer->second.last_message_at, peer->second.last_use_at);
    if (now - last <= settings_.repeated_apart) {
      ++peer;
      continue;
    }
    for (auto& [name, entry] : entries_)
      entry.rate.RemovePeer(peer->first);
    peer = peers_.erase(peer);
  }
}

AllotmentUse AllotmentBook::Use(const Entry& entry) {
  return {entry.hash, entry.rate.totals(), entry.unannounced};
}

std::vector<AllotmentUse> AllotmentBook::TakeChanges() {
  std::vector<AllotmentUse> uses;
  for (const std::string& organisation : std::exchange(changed_, {})) {
    auto found = entries_.find(organisation);
    if (found == entries_.end())
      continue;
    uses.push_back(Use(found->second));
    found->second.unannounced = 0;
  }
  return uses;
}

std::vector<AllotmentUse> AllotmentBook::Repeated(base::TimePoint now) const {
  std::vector<AllotmentUse> uses;
  bool apart = now < apart_until_;
  base::Duration age = apart ? settings_.repeated_apart : settings_.repeated;
  for (const auto& [name, entry] : entries_) {
    // A lost announcement makes no difference far from the limit.
    bool matters = apart || !entry.rate.plentiful(now);
    if (!matters || entry.last_taken_at == base::TimePoint{} ||
        now - entry.last_taken_at > age)
      continue;
    uses.push_back(Use(entry));
    uses.back().recent = 0;
  }
  return uses;
}

std::vector<AllotmentEpisode> AllotmentBook::TakeEnded(base::TimePoint now) {
  std::vector<AllotmentEpisode> ended;
  for (auto& [name, entry] : entries_) {
    if (!entry.over_since || now - entry.last_refused_at < settings_.window)
      continue;
    ended.push_back({name, entry.episode_taken, entry.episode_refused,
                     entry.last_refused_at - *entry.over_since});
    entry.over_since.reset();
  }
  return ended;
}

}  // namespace vanillalever::rate
