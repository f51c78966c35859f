#include "vanillalever/scheduling/cache_index.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillalever::scheduling {

CacheIndex::CacheIndex(CacheIndexSettings settings) : settings_(settings) {}

CacheIndex::Shard& CacheIndex::ShardOf(ProgramKey program) {
  return shards_[program % kShards];
}

const CacheIndex::Shard& CacheIndex::ShardOf(ProgramKey program) const {
  return shards_[program % kShards];
}

CacheIndex::Entry& CacheIndex::EntryOf(std::vector<Entry>* entries,
                                       ServerIndex server) {
  for (Entry& entry : *entries) {
    if (entry.server == server)
      return entry;
  }
  return entries->emplace_back(Entry{.server = server});
}

std::uint64_t CacheIndex::Gaps(ServerIndex server) const {
  return streams_[server % kStreams].gaps.load(std::memory_order_relaxed);
}

void CacheIndex::CountGap(const CacheEvent& event) {
  std::lock_guard lock(streams_mutex_);
  Stream& stream = streams_[event.server % kStreams];
  // Events may arrive out of order; only a jump ahead shows a gap.
  if (event.sequence <= stream.last_sequence)
    return;
  if (stream.last_sequence != 0) {
    stream.gaps.fetch_add(event.sequence - stream.last_sequence - 1,
                          std::memory_order_relaxed);
  }
  stream.last_sequence = event.sequence;
}

void CacheIndex::OnEvent(const CacheEvent& event) {
  CountGap(event);
  std::uint64_t gaps = Gaps(event.server);
  Shard& shard = ShardOf(event.program);
  std::lock_guard lock(shard.mutex);
  auto found = shard.programs.find(event.program);
  // Events of programs that this process does not own, or that have ended, do
  // not create entries: nobody would remove them.
  if (found == shard.programs.end())
    return;
  Entry& entry = EntryOf(&found->second, event.server);
  if (event.time < entry.confirmed)
    return;
  entry.tokens = event.tokens;
  entry.confirmed = event.time;
  entry.gaps = gaps;
}

void CacheIndex::OnDispatch(ProgramKey program,
                            ServerIndex server,
                            base::TimePoint /*now*/) {
  Shard& shard = ShardOf(program);
  std::lock_guard lock(shard.mutex);
  EntryOf(&shard.programs[program], server);
}

void CacheIndex::OnResult(ProgramKey program,
                          ServerIndex server,
                          double tokens,
                          base::TimePoint now) {
  std::uint64_t gaps = Gaps(server);
  Shard& shard = ShardOf(program);
  std::lock_guard lock(shard.mutex);
  auto found = shard.programs.find(program);
  if (found == shard.programs.end())
    return;
  Entry& entry = EntryOf(&found->second, server);
  entry.tokens = tokens;
  entry.confirmed = now;
  entry.gaps = gaps;
}

void CacheIndex::OnServerReset(ServerIndex server) {
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (auto& [program, entries] : shard.programs) {
      std::erase_if(entries, [server](const Entry& entry) {
        return entry.server == server;
      });
    }
  }
  std::lock_guard lock(streams_mutex_);
  streams_[server % kStreams].last_sequence = 0;
}

std::vector<CacheHolder> CacheIndex::Holders(ProgramKey program,
                                             base::TimePoint now) const {
  std::vector<Entry> entries;
  {
    const Shard& shard = ShardOf(program);
    std::lock_guard lock(shard.mutex);
    auto found = shard.programs.find(program);
    if (found != shard.programs.end())
      entries = found->second;
  }
  std::vector<CacheHolder> holders;
  for (const Entry& entry : entries) {
    if (entry.tokens <= 0)
      continue;
    double age = std::chrono::duration<double>(now - entry.confirmed).count();
    double lifetime = std::chrono::duration<double>(settings_.lifetime).count();
    auto missed = static_cast<double>(Gaps(entry.server) - entry.gaps);
    double confidence = std::exp(-std::max(0.0, age) / lifetime) *
                        std::pow(settings_.gap_confidence, missed);
    holders.push_back({.server = entry.server,
                       .tokens = entry.tokens,
                       .confidence = confidence});
  }
  std::sort(holders.begin(), holders.end(),
            [](const CacheHolder& a, const CacheHolder& b) {
              double left = a.tokens * a.confidence;
              double right = b.tokens * b.confidence;
              return left != right ? left > right : a.server < b.server;
            });
  return holders;
}

std::vector<ServerIndex> CacheIndex::EndProgram(ProgramKey program) {
  std::vector<ServerIndex> servers;
  Shard& shard = ShardOf(program);
  std::lock_guard lock(shard.mutex);
  auto found = shard.programs.find(program);
  if (found == shard.programs.end())
    return servers;
  for (const Entry& entry : found->second)
    servers.push_back(entry.server);
  shard.programs.erase(found);
  return servers;
}

std::size_t CacheIndex::size() const {
  std::size_t count = 0;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    count += shard.programs.size();
  }
  return count;
}

}  // namespace vanillalever::scheduling
