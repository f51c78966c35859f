#ifndef VANILLALEVER_CONVERSATION_CHAIN_READER_H_
#define VANILLALEVER_CONVERSATION_CHAIN_READER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/conversation/turn_cache.h"
#include "vanillalever/conversation/turn_memory.h"
#include "vanillalever/conversation/turn_record.h"

namespace vanillalever::conversation {

// Puts a turn and all turns before it together from their records: the first
// record names the others, which are then read in parallel. Does no I/O. Not
// thread-safe.
class ChainReader {
 public:
  explicit ChainReader(std::string id) : id_(std::move(id)) {}

  // Ids of the records to be read now; each id is returned once. Turns in
  // `cache` are not read.
  std::vector<std::string> TakeUnread(TurnCache& cache, base::TimePoint now);
  // The record of `id` was read; nothing if it does not exist.
  void OnRecord(const std::string& id, std::optional<TurnRecord> record);

  // A record that does not exist; empty if there is none. If it is the turn
  // itself, no such turn was completed; otherwise the conversation is
  // incomplete and must not be continued.
  const std::string& missing() const { return missing_; }
  // Whether the turn before this one, as its record states, is in the cache,
  // and with it all turns before it. True also if there is none.
  bool PreviousIsCached(TurnCache& cache, base::TimePoint now) const;
  // Bytes of all turns before this one, as its record states; zero if that is
  // not read yet, or does not state it.
  std::uint64_t history_bytes() const;
  // The turn with all its predecessors; null until all records are known. Takes
  // the texts out of the records.
  TurnPtr Build(TurnCache& cache, TurnMemory& memory, base::TimePoint now);

  const std::string& id() const { return id_; }

 private:
  std::string id_;
  std::string missing_;
  // Records by turn id; nothing while being read.
  std::map<std::string, std::optional<TurnRecord>> records_;
};

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_CHAIN_READER_H_
