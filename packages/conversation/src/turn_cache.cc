#include "vanillalever/conversation/turn_cache.h"

namespace vanillalever::conversation {

TurnPtr TurnCache::Find(const std::string& id, base::TimePoint now) {
  auto found = entries_.find(id);
  if (found == entries_.end())
    return nullptr;
  TurnPtr turn = found->second.turn;
  Use(turn, now);
  return turn;
}

TurnPtr TurnCache::FindKept(const std::string& id, base::TimePoint now) {
  auto found = entries_.find(id);
  if (found == entries_.end())
    return nullptr;
  const Entry& entry = found->second;
  base::Duration retention = entry.turn->retention;
  // Records of earlier releases state no retention time.
  if (retention > base::Duration(0) && now - entry.confirmed > retention)
    return nullptr;
  return Find(id, now);
}

void TurnCache::Put(const TurnPtr& turn, base::TimePoint now) {
  Use(turn, now);
  for (const Turn* next = turn.get(); next != nullptr;
       next = next->previous.get()) {
    if (auto found = entries_.find(next->id); found != entries_.end())
      found->second.confirmed = now;
  }
}

void TurnCache::Use(const TurnPtr& turn, base::TimePoint now) {
  // The newest turn becomes the most recently used one, since it holds its
  // predecessors in memory.
  std::list<const TurnPtr*> chain;
  for (const TurnPtr* next = &turn; *next != nullptr; next = &(*next)->previous)
    chain.push_front(next);
  for (const TurnPtr* next : chain)
    Touch(*next, now);
  Shrink();
}

void TurnCache::Touch(const TurnPtr& turn, base::TimePoint now) {
  auto [found, added] = entries_.try_emplace(turn->id);
  Entry& entry = found->second;
  if (added) {
    recency_.push_front(turn->id);
    entry.turn = turn;
    entry.position = recency_.begin();
    bytes_ += turn->bytes();
  } else {
    recency_.splice(recency_.begin(), recency_, entry.position);
  }
  entry.last_used = now;
}

bool TurnCache::RemoveOldest() {
  if (recency_.empty())
    return false;
  auto oldest = entries_.find(recency_.back());
  bytes_ -= oldest->second.turn->bytes();
  entries_.erase(oldest);
  recency_.pop_back();
  return true;
}

void TurnCache::Shrink() {
  while (bytes_ > settings_.max_bytes && recency_.size() > 1)
    RemoveOldest();
}

void TurnCache::RemoveIdle(base::TimePoint now) {
  while (!recency_.empty() &&
         now - entries_.at(recency_.back()).last_used > settings_.max_idle)
    RemoveOldest();
}

}  // namespace vanillalever::conversation
