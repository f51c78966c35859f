#ifndef VANILLALEVER_CONVERSATION_TURN_INDEX_H_
#define VANILLALEVER_CONVERSATION_TURN_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/conversation/turn.h"

namespace vanillalever::conversation {

// What the deletion of a turn's record needs to know. Durable, in a row beside
// the record.
struct TurnIndexEntry {
  // Id of the turn before this one; empty for the first of a conversation.
  std::string previous;
  // How long the turn is promised to be kept. Whole milliseconds.
  base::Duration retention{};
  // Number of rows of the record.
  std::size_t rows = 1;

  bool operator==(const TurnIndexEntry&) const = default;
};

std::string EncodeTurnIndexEntry(const TurnIndexEntry& entry);
// Returns nothing if `bytes` are not an entry.
std::optional<TurnIndexEntry> DecodeTurnIndexEntry(std::string_view bytes);

// The index is divided into this many parts, which different gateways watch.
inline constexpr std::size_t kTurnIndexParts = 16;
// Part of the index that holds the turn and its whole conversation.
std::size_t TurnIndexPart(const Turn& turn);

// Decides which records of turns are deleted, from one part of the index.
//
// A record is deleted when it has been known for longer than it may be
// continued, and no record that continues it is left. So a turn keeps all turns
// before it by its own record, whatever becomes of the gateways that it came
// through, and conversations are deleted from their ends. The view of the index
// may be late: a record expires only as of a moment whose index is known. Does
// no I/O. Not thread-safe.
class TurnIndex {
 public:
  // A record to be deleted.
  struct Expired {
    std::string id;
    // Version of its rows and of its entry.
    std::uint64_t version = 0;
    std::size_t rows = 1;
  };

  // Longest time from the lookup of a turn to the record of one that continues
  // it.
  void SetLongestTurn(base::Duration longest) { longest_turn_ = longest; }

  // Begins to apply a listing of all entries by Put().
  void BeginListing();
  // The listing is complete: entries that it did not contain are removed.
  void EndListing();
  // An entry that was written at `version`. What is known already is ignored.
  void Put(const std::string& id,
           const TurnIndexEntry& entry,
           std::uint64_t version,
           base::TimePoint now);
  // The entry was deleted at `version`.
  void Remove(const std::string& id, std::uint64_t version);

  // Returns up to `most` records to be deleted, where all entries written
  // before `known_until` have been put. Each is to be followed by Remove() or
  // OnDeleteFailed().
  std::vector<Expired> TakeExpired(base::TimePoint known_until,
                                   std::size_t most);
  // The record is returned again later.
  void OnDeleteFailed(const std::string& id, base::TimePoint now);

  // Number of records.
  std::size_t size() const { return known_; }

 private:
  // A turn with an entry, or one that only others name as their predecessor.
  struct Node {
    bool known = false;
    TurnIndexEntry entry;
    std::uint64_t version = 0;
    base::TimePoint expires{};
    // Whether it is in `checks_`. An expired one that is not waits for its last
    // successor, or is being deleted.
    bool queued = false;
    bool deleting = false;
    // Known records that continue it.
    std::size_t successors = 0;
  };

  void Queue(const std::string& id, Node& node, base::TimePoint when);
  // Forgets a known entry.
  void Erase(const std::string& id);

  std::unordered_map<std::string, Node> nodes_;
  std::size_t known_ = 0;
  // Ids by the time of their next check; those that were removed meanwhile stay
  // behind.
  std::multimap<base::TimePoint, std::string> checks_;
  // Ids that the present listing does not contain so far.
  std::unordered_set<std::string> unlisted_;
  base::Duration longest_turn_{};
};

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_TURN_INDEX_H_
