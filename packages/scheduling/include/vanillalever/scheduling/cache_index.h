#ifndef VANILLALEVER_SCHEDULING_CACHE_INDEX_H_
#define VANILLALEVER_SCHEDULING_CACHE_INDEX_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/scheduling/candidate.h"

namespace vanillalever::scheduling {

struct CacheIndexSettings {
  // Time constant with which the confidence in a holder decays until a call or
  // event confirms it again.
  base::Duration confidence_time_constant = base::seconds(120);
  // Factor on the confidence in a server's prefixes for each of its events that
  // was lost.
  double lost_event_factor = 0.98;
};

// Cache event of an engine. The sender numbers the events of a server
// consecutively from 1; some are lost in transit.
struct CacheEvent {
  ServerIndex server = 0;
  std::uint64_t sequence = 0;
  ProgramKey program = 0;
  // Prompt tokens of the program that the server holds; zero if evicted.
  double tokens = 0;
  // When the event occurred, on the receiver's clock. An event older than the
  // result of a later call is ignored.
  base::TimePoint time{};
};

// Index of the servers that hold each program's prefix, derived from the calls
// of this process and from cache events, which may be delayed or lost.
// Thread-safe: programs are spread over shards, each with its own lock.
class CacheIndex {
 public:
  explicit CacheIndex(CacheIndexSettings settings = CacheIndexSettings());

  void OnEvent(const CacheEvent& event);

  // A call was sent to `server`, which may hold KV of the program from now on.
  void OnDispatch(ProgramKey program, ServerIndex server, base::TimePoint now);

  // A call ended on `server`, which now holds `tokens` of the program.
  void OnResult(ProgramKey program,
                ServerIndex server,
                double tokens,
                base::TimePoint now);

  // The server restarted and has lost its cache.
  void OnServerReset(ServerIndex server);

  // Servers that probably hold a prefix, longest expected prefix first.
  std::vector<CacheHolder> Holders(ProgramKey program,
                                   base::TimePoint now) const;

  // Removes the program and returns all servers that may hold KV of it and need
  // a release command. Servers that reported an eviction are included, because
  // the event may be older than the cache content.
  std::vector<ServerIndex> EndProgram(ProgramKey program);

  std::size_t size() const;

 private:
  struct Entry {
    ServerIndex server = 0;
    double tokens = 0;
    // When `tokens` was last confirmed.
    base::TimePoint confirmed_at{};
    // Lost events of the server at that time.
    std::uint64_t lost_events = 0;
  };

  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<ProgramKey, std::vector<Entry>> programs;
  };

  // Sequence of one server's events. Lookups read only `lost_events`, without a
  // lock.
  struct EventStream {
    std::uint64_t last_sequence = 0;
    std::atomic<std::uint64_t> lost_events{0};
  };

  static constexpr std::size_t kShardCount = 16;
  // Servers whose indexes differ by a multiple of this share a stream; a lost
  // event of one then also lowers the confidence in the other.
  static constexpr std::size_t kEventStreamCount = 2048;

  Shard& ShardOf(ProgramKey program);
  const Shard& ShardOf(ProgramKey program) const;
  static Entry& FindOrAddEntry(std::vector<Entry>* entries, ServerIndex server);
  // Number of events of the server known to be lost.
  std::uint64_t LostEvents(ServerIndex server) const;
  void CountLostEvents(const CacheEvent& event);

  CacheIndexSettings settings_;
  std::array<Shard, kShardCount> shards_;
  // Guards `last_sequence` of all streams.
  std::mutex event_streams_mutex_;
  std::vector<EventStream> event_streams_{kEventStreamCount};
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CACHE_INDEX_H_
