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

// Settings of CacheIndex.
struct CacheIndexSettings {
  // Time constant with which confidence in a holder falls while no call or
  // event confirms it.
  base::Duration lifetime = base::seconds(120);
  // Confidence kept by a server's holders when one of its events was lost.
  double gap_confidence = 0.98;
};

// One cache event of an engine. Events of one server are numbered from 1
// without gaps when they are sent; some are lost on the way.
struct CacheEvent {
  ServerIndex server = 0;
  std::uint64_t sequence = 0;
  ProgramKey program = 0;
  // Prompt tokens of the program that the server holds now; zero when evicted.
  double tokens = 0;
  // When the event took place, on the receiver's clock; an event older than
  // what a later call has shown is ignored.
  base::TimePoint time{};
};

// Which server holds which program's prefix, from own calls and from late and
// gapped cache events. Thread-safe: programs are spread over shards, each with
// its own lock.
class CacheIndex {
 public:
  explicit CacheIndex(CacheIndexSettings settings = CacheIndexSettings());

  void OnEvent(const CacheEvent& event);

  // A call was sent to `server`, which from now on may hold KV for the program.
  void OnDispatch(ProgramKey program, ServerIndex server, base::TimePoint now);

  // A call ended on `server`, which then held `tokens` of the program.
  void OnResult(ProgramKey program,
                ServerIndex server,
                double tokens,
                base::TimePoint now);

  // The server restarted: it holds nothing.
  void OnServerReset(ServerIndex server);

  // Servers that are believed to hold a prefix, longest expected prefix first.
  std::vector<CacheHolder> Holders(ProgramKey program,
                                   base::TimePoint now) const;

  // Forgets the program and returns every server that may hold KV for it, to
  // which a release must go. Servers that only reported an eviction are
  // included, because events may be late.
  std::vector<ServerIndex> EndProgram(ProgramKey program);

  std::size_t size() const;

 private:
  struct Entry {
    ServerIndex server = 0;
    double tokens = 0;
    // When the tokens were last known to be right.
    base::TimePoint confirmed{};
    // Gaps of the server at that time.
    std::uint64_t gaps = 0;
  };

  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<ProgramKey, std::vector<Entry>> programs;
  };

  // Events of one server. Lookups read `gaps` only, without a lock.
  struct Stream {
    std::uint64_t last_sequence = 0;
    std::atomic<std::uint64_t> gaps{0};
  };

  static constexpr std::size_t kShards = 16;
  // Servers whose indexes differ by a multiple of this share a stream; a gap
  // of one then lowers the confidence in the other too.
  static constexpr std::size_t kStreams = 2048;

  Shard& ShardOf(ProgramKey program);
  const Shard& ShardOf(ProgramKey program) const;
  static Entry& EntryOf(std::vector<Entry>* entries, ServerIndex server);
  // Number of events of the server that are known to be lost.
  std::uint64_t Gaps(ServerIndex server) const;
  void CountGap(const CacheEvent& event);

  CacheIndexSettings settings_;
  std::array<Shard, kShards> shards_;
  // Guards the sequences of all streams, which only events change.
  std::mutex streams_mutex_;
  std::vector<Stream> streams_{kStreams};
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_CACHE_INDEX_H_
