#include "vanillalever/memory/account.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace vanillalever::memory {
namespace {

constexpr std::array<Purpose, kPurposes> kAllPurposes{Purpose::kRequest,
                                                      Purpose::kResponse};
constexpr std::optional<Purpose> kAll = std::nullopt;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Account::Account(const AccountSettings& settings) : settings_(settings) {}

std::size_t Account::held() const {
  return std::accumulate(held_.begin(), held_.end(), std::size_t{0});
}

std::size_t Account::limit(Purpose purpose) const {
  return static_cast<std::size_t>(static_cast<double>(settings_.total_bytes) *
                                  at(settings_.shares, purpose));
}

void Account::Leave(Holding& holding) {
  holdings_.erase(&holding);
  if (holding.slowed_)
    --slowed_;
  if (holding.ended_)
    return;
  for (Purpose purpose : kAllPurposes)
    at(held_, purpose) -= holding.bytes(purpose);
}

void Account::Set(Holding& holding,
                  Purpose purpose,
                  std::size_t bytes,
                  base::TimePoint now) {
  auto& part = holding.part(purpose);
  std::size_t before = std::exchange(part.bytes, bytes);
  if (before == 0)
    part.since = now;
  // What an ended holder held counts as released already.
  if (holding.ended_)
    return;
  at(held_, purpose) += bytes;
  at(held_, purpose) -= before;
  if (bytes <= before)
    return;
  for (std::optional<Purpose> scope : {std::optional(purpose), kAll}) {
    if (Exceeds(scope, 1))
      Relieve(scope, settings_.slow_share, 0, now);
  }
}

bool Account::Exceeds(std::optional<Purpose> purpose, double share) const {
  std::size_t bytes = purpose ? held(*purpose) : held();
  std::size_t most = purpose ? limit(*purpose) : settings_.total_bytes;
  return static_cast<double>(bytes) > share * static_cast<double>(most);
}

bool Account::Slows() const {
  return Exceeds(Purpose::kRequest, settings_.slow_share) ||
         Exceeds(kAll, settings_.slow_share);
}

bool Account::MustWait(Holding& holding) {
  if (holding.slowed_)
    return true;
  if (holding.bytes(Purpose::kRequest) <= settings_.ordinary_bytes || !Slows())
    return false;
  holding.slowed_ = true;
  ++slowed_;
  ++slowed_total_;
  return true;
}

void Account::Tick(base::TimePoint now) {
  if (slowed_ == 0 || !Slows()) {
    slow_since_.reset();
    if (slowed_ > 0)
      Resume();
    return;
  }
  if (!slow_since_)
    slow_since_ = now;
  if (now - *slow_since_ < settings_.patience)
    return;
  for (std::optional<Purpose> scope : {std::optional(Purpose::kRequest), kAll})
    Relieve(scope, settings_.relief_share, settings_.ordinary_bytes, now);
}

void Account::Relieve(std::optional<Purpose> purpose,
                      double share,
                      std::size_t min_bytes,
                      base::TimePoint now) {
  struct Candidate {
    double weight;
    Holding* holding;
    Purpose purpose;
  };
  std::vector<Candidate> candidates;
  for (Holding* holding : holdings_) {
    for (Purpose each : kAllPurposes) {
      const auto& part = holding->part(each);
      if (holding->ended_ || part.bytes <= min_bytes ||
          (purpose && each != *purpose))
        continue;
      // The added time orders holders of the same moment by their size.
      double held_s = Seconds(now - part.since) + 1e-3;
      double weight = static_cast<double>(part.bytes) * held_s;
      candidates.push_back({weight, holding, each});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.weight > b.weight;
            });
  for (const Candidate& candidate : candidates) {
    if (!Exceeds(purpose, share))
      return;
    if (!candidate.holding->ended_)
      End(*candidate.holding, candidate.purpose, now);
  }
}

void Account::End(Holding& holding, Purpose purpose, base::TimePoint now) {
  holding.ended_ = true;
  for (Purpose each : kAllPurposes)
    at(held_, each) -= holding.bytes(each);
  Ended& ended = at(ended_, purpose);
  const auto& part = holding.part(purpose);
  ++ended.holders;
  ended.bytes += part.bytes;
  ended.largest_bytes = std::max(ended.largest_bytes, part.bytes);
  ended.longest = std::max(ended.longest, now - part.since);
  holding.holder_.OnEnded(purpose);
}

void Account::Resume() {
  for (Holding* holding : holdings_) {
    if (!std::exchange(holding->slowed_, false))
      continue;
    --slowed_;
    if (!holding->ended_)
      holding->holder_.OnResumed();
  }
}

Account::Ended Account::TakeEnded(Purpose purpose) {
  return std::exchange(at(ended_, purpose), {});
}

}  // namespace vanillalever::memory
