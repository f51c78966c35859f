#include "vanillalever/conversation/chain_reader.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace vanillalever::conversation {

std::vector<std::string> ChainReader::TakeUnread(TurnCache& cache,
                                                 base::TimePoint now) {
  std::vector<std::string> unread;
  auto take = [this, &unread](const std::string& id) {
    if (records_.try_emplace(id).second)
      unread.push_back(id);
  };
  if (records_.empty()) {
    take(id_);
    return unread;
  }
  std::vector<std::string> ancestors;
  for (const auto& [id, record] : records_) {
    if (!record)
      continue;
    for (const std::string& ancestor : record->ancestors) {
      // A cached turn holds all turns before it.
      if (!records_.contains(ancestor) && cache.Find(ancestor, now))
        break;
      ancestors.push_back(ancestor);
    }
  }
  for (const std::string& ancestor : ancestors)
    take(ancestor);
  return unread;
}

void ChainReader::OnRecord(const std::string& id,
                           std::optional<TurnRecord> record) {
  if (!record) {
    if (missing_.empty() || id == id_)
      missing_ = id;
    return;
  }
  records_[id] = std::move(record);
}

bool ChainReader::PreviousIsCached(TurnCache& cache,
                                   base::TimePoint now) const {
  auto found = records_.find(id_);
  if (found == records_.end() || !found->second)
    return false;
  const auto& ancestors = found->second->ancestors;
  return ancestors.empty() || cache.Find(ancestors.front(), now) != nullptr;
}

std::uint64_t ChainReader::history_bytes() const {
  auto found = records_.find(id_);
  return found == records_.end() || !found->second
             ? 0
             : found->second->history_bytes;
}

TurnPtr ChainReader::Build(TurnCache& cache,
                           TurnMemory& memory,
                           base::TimePoint now) {
  std::vector<std::pair<const std::string, std::optional<TurnRecord>>*> chain;
  TurnPtr previous;
  for (std::string id = id_; !id.empty();) {
    auto found = records_.find(id);
    if (found == records_.end() || !found->second) {
      previous = cache.Find(id, now);
      if (!previous)
        return nullptr;
      break;
    }
    // A record that names itself as its own ancestor is corrupt.
    if (chain.size() > records_.size())
      return nullptr;
    chain.push_back(&*found);
    const auto& ancestors = found->second->ancestors;
    id = ancestors.empty() ? "" : ancestors.front();
  }
  std::reverse(chain.begin(), chain.end());
  for (auto* entry : chain) {
    TurnRecord& record = *entry->second;
    Turn turn;
    turn.id = entry->first;
    turn.previous = std::move(previous);
    turn.organisation = std::move(record.organisation);
    turn.input = std::move(record.input);
    turn.output = std::move(record.output);
    turn.retention = record.retention;
    previous = memory.Keep(std::move(turn));
  }
  return previous;
}

}  // namespace vanillalever::conversation
