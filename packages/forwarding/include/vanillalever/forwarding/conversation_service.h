#ifndef VANILLALEVER_FORWARDING_CONVERSATION_SERVICE_H_
#define VANILLALEVER_FORWARDING_CONVERSATION_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "vanillalever/base/name_table.h"
#include "vanillalever/base/random.h"
#include "vanillalever/conversation/chain_reader.h"
#include "vanillalever/conversation/turn_cache.h"
#include "vanillalever/conversation/turn_memory.h"
#include "vanillalever/forwarding/record_writer.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Settings of ConversationService.
struct ConversationSettings {
  conversation::TurnCacheSettings cache;
  // Most bytes of turns in memory: those in the cache, those that requests use,
  // and those that are being read or written.
  std::size_t max_turn_bytes = 24 << 20;
  // Maximum size of one row's value in the shared table.
  std::size_t max_row_bytes = 48 << 10;
};

// Result of looking a turn up.
enum class TurnLookup {
  kFound,
  kMissing,      // no such turn was completed, or it is no longer kept
  kUnavailable,  // not known: the store did not respond in time
  kNoRoom,       // not read: too many conversations are in memory
};

inline constexpr base::NameTable<TurnLookup, 4> kTurnLookupNames({
    "found",
    "missing",
    "unavailable",
    "no_room",
});

// Keeps the turns of conversations in the shared table, and the recent ones in
// memory. The entry that is written with each record tells TurnCollector how
// long the turns before it are needed. Event loop's thread only.
class ConversationService {
 public:
  using FindCallback =
      std::function<void(TurnLookup, const conversation::TurnPtr&)>;

  // Largest input, and largest output, of a turn that can be kept, in bytes:
  // both fit into one transaction.
  static constexpr std::size_t kMaxTurnBytes = 320 << 10;
  // Longest id of a turn.
  static constexpr std::size_t kMaxIdBytes = 128;

  ConversationService(boost::asio::io_context& context,
                      SharedTable& table,
                      std::uint64_t seed,
                      ConversationSettings settings = {});

  // Sets room aside for what a turn with this input takes until it is recorded.
  // Returns nothing if there is none.
  std::optional<conversation::TurnMemory::Reservation> Admit(
      std::size_t input_bytes);

  // Looks up the turn with all turns before it, and reports kUnavailable if
  // that takes longer than until `give_up`. The callback may run inside the
  // call.
  void Find(const std::string& id, base::TimePoint give_up, FindCallback done);

  // Makes the turn durable; `done` reports whether it is. After `give_up` the
  // outcome is reported as not durable, although it may become so.
  void Record(conversation::Turn turn,
              base::TimePoint give_up,
              std::function<void(bool recorded)> done);

  // Removes idle turns from memory. Call periodically.
  void Tick();

  // Bytes of turns in memory, and of those that are about to be.
  std::size_t bytes_in_memory() const { return memory_.bytes(); }

 private:
  struct Waiter {
    base::TimePoint give_up{};
    FindCallback done;
  };
  // A lookup in progress, shared by all requests for the same turn.
  struct Lookup {
    explicit Lookup(const std::string& id) : reader(id) {}
    conversation::ChainReader reader;
    std::vector<Waiter> waiters;
    int open_reads = 0;
    int failures = 0;
    base::TimePoint started{};
    // For what is being read.
    conversation::TurnMemory::Reservation room;
  };
  using LookupPtr = std::shared_ptr<Lookup>;

  // Whether there is room for `bytes` more of turns. Removes as many cached
  // ones as that takes, the least recently used first.
  bool MakeRoom(std::size_t bytes);
  void ReadMore(const LookupPtr& lookup);
  // Reads the rows of a record.
  void ReadRows(const std::string& id,
                std::function<void(const ReadResult& result)> done);
  void ReadRecord(const LookupPtr& lookup, const std::string& id);
  // The record of the turn itself was read: sets room aside for the turns
  // before it. Returns whether there is enough.
  bool ReserveHistory(const LookupPtr& lookup);
  void OnRead(const LookupPtr& lookup,
              const std::string& id,
              const ReadResult& result);
  // Reads the record again after a delay, unless no request waits any more.
  void RetryRead(const LookupPtr& lookup,
                 const std::string& id,
                 const std::string& reason);
  void Finish(const LookupPtr& lookup,
              TurnLookup outcome,
              const conversation::TurnPtr& turn);

  boost::asio::io_context& context_;
  SharedTable& table_;
  ConversationSettings settings_;
  base::Random random_;
  conversation::TurnMemory memory_;
  conversation::TurnCache cache_;
  RecordWriter writer_;
  std::map<std::string, LookupPtr> lookups_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_CONVERSATION_SERVICE_H_
