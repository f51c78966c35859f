#ifndef VANILLALEVER_CONVERSATION_TURN_CACHE_H_
#define VANILLALEVER_CONVERSATION_TURN_CACHE_H_

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

#include "vanillalever/base/clock.h"
#include "vanillalever/conversation/turn.h"

namespace vanillalever::conversation {

// Settings of TurnCache.
struct TurnCacheSettings {
  // Maximum size of the turns that the cache alone keeps in memory.
  std::size_t max_bytes = 16 << 20;
  // Turns unused for this long are removed: the pauses between the turns of a
  // program are far shorter. Later uses read the turn from the store.
  base::seconds max_idle{20};
};

// Recently used turns by id. Removes the least recently used ones first; a turn
// stays in memory while a request or a cached successor uses it. Not
// thread-safe.
class TurnCache {
 public:
  explicit TurnCache(TurnCacheSettings settings = {}) : settings_(settings) {}

  // Returns null if the turn is not in the cache. Marks the turn and its
  // predecessors as used.
  TurnPtr Find(const std::string& id, base::TimePoint now);
  // The same, but null also if the turn has not been known to be in the store
  // for its retention time: its record may have been deleted.
  TurnPtr FindKept(const std::string& id, base::TimePoint now);
  // Adds the turn and its predecessors, which are in the store now.
  void Put(const TurnPtr& turn, base::TimePoint now);
  // Removes the least recently used turn. Returns false if there is none.
  bool RemoveOldest();
  // Removes turns that have not been used for the maximum idle time.
  void RemoveIdle(base::TimePoint now);

  std::size_t size() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    TurnPtr turn;
    base::TimePoint last_used{};
    // When the turn was last known to be in the store.
    base::TimePoint confirmed{};
    std::list<std::string>::iterator position;
  };

  // Makes the turn the most recently used one, after its predecessors.
  void Use(const TurnPtr& turn, base::TimePoint now);
  void Touch(const TurnPtr& turn, base::TimePoint now);
  void Shrink();

  TurnCacheSettings settings_;
  std::size_t bytes_ = 0;
  // Most recently used first.
  std::list<std::string> recency_;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_TURN_CACHE_H_
