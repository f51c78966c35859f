#include "vanillalever/scheduling/cache_index.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanillalever::scheduling {

CacheIndex::CacheIndex(CacheIndexSettings settings) : settings_(settings) {}

CacheIndex::Shard& CacheIndex::ShardOf(ProgramKey program) {
  return shards_[program % kShardCount];
}

const CacheIndex::Shard& CacheIndex::ShardOf(ProgramKey program) const {
  return shards_[program % kShardCount];
}

CacheIndex::Entry& CacheIndex::FindOrAddEntry(std::vector<Entry>* entries,
                                              ServerIndex server) {
  for (Entry& entry : *entries) {
    if (entry.server == server)
      return entry;
  }
  return entries->emplace_back(Entry{.server = server});
}

std::uint64_t CacheIndex::LostEvents(ServerIndex server) const {
  return event_streams_[server % kEventStreamCount].lost_events.load(
      std::memory_order_relaxed);
}

void CacheIndex::CountLostEvents(const CacheEvent& event) {
  std::lock_guard lock(event_streams_mutex_);
  EventStream& stream = event_streams_[event.server % kEventStreamCount];
  // Events may arrive out of order; only a jump forward indicates lost events.
  if (event.sequence <= stream.last_sequence)
    return;
  if (stream.last_sequence != 0) {
    stream.lost_events.fetch_add(event.sequence - stream.last_sequence - 1,
                                 std::memory_order_relaxed);
  }
  stream.last_sequence = event.sequence;
}

void CacheIndex::OnEvent(const CacheEvent& event) {
  CountLostEvents(event);
  std::uint64_t lost_events = LostEvents(event.server);
  Shard& shard = ShardOf(event.program);
  std::lock_guard lock(shard.mutex);
  auto found = shard.programs.find(event.program);
  // Events of programs that this process does not own, or that have ended, add
  // no entries, because these would never be removed.
  if (found == shard.programs.end())
    return;
  Entry& entry = FindOrAddEntry(&found->second, event.server);
  if (event.time < entry.confirmed_at)
    return;
  entry.tokens = event.tokens;
  entry.confirmed_at = event.time;
  entry.lost_events = lost_events;
}

void CacheIndex::OnDispatch(ProgramKey program,
                            ServerIndex server,
                            base::TimePoint /*now*/) {
  Shard& shard = ShardOf(program);
  std::lock_guard lock(shard.mutex);
  FindOrAddEntry(&shard.programs[program], server);
}

void CacheIndex::OnResult(ProgramKey program,
                          ServerIndex server,
                          double tokens,
                          base::TimePoint now) {
  std::uint64_t lost_events = LostEvents(server);
  Shard& shard = ShardOf(program);
  std::lock_guard lock(shard.mutex);
  auto found = shard.programs.find(program);
  if (found == shard.programs.end())
    return;
  Entry& entry = FindOrAddEntry(&found->second, server);
  entry.tokens = tokens;
  entry.confirmed_at = now;
  entry.lost_events = lost_events;
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
  std::lock_guard lock(event_streams_mutex_);
  event_streams_[server % kEventStreamCount].last_sequence = 0;
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
    double age =
        std::chrono::duration<double>(now - entry.confirmed_at).count();
    double time_constant =
        std::chrono::duration<double>(settings_.confidence_time_constant)
            .count();
    auto lost_since =
        static_cast<double>(LostEvents(entry.server) - entry.lost_events);
    double confidence = std::exp(-std::max(0.0, age) / time_constant) *
                        std::pow(settings_.lost_event_factor, lost_since);
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
