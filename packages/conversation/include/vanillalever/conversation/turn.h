#ifndef VANILLALEVER_CONVERSATION_TURN_H_
#define VANILLALEVER_CONVERSATION_TURN_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::conversation {

struct Turn;
using TurnPtr = std::shared_ptr<const Turn>;

// A completed turn of a conversation. Several turns may have the same
// predecessor.
struct Turn {
  // Id of the request that produced the turn.
  std::string id;
  // Organisation whose caller produced the turn, empty if it belongs to none;
  // absent if the deployment has no organisations.
  std::optional<std::string> organisation;
  // Turn that this one continues; null for the first turn.
  TurnPtr previous;
  // New input of the turn, without the history.
  std::string input;
  // Data of each event of the response, each followed by a line feed.
  std::string output;
  // How long the turn is promised to be kept, with all turns before it, after
  // its response. Zero if its record was written by a release that did not
  // state it.
  base::Duration retention{};

  std::size_t bytes() const {
    return sizeof(Turn) + id.size() + input.size() + output.size();
  }
};

// Inputs and outputs of `last` and all turns before it, oldest first: what a
// server receives ahead of the next turn's input. Empty if `last` is null. The
// parts are valid as long as `last`.
std::vector<std::string_view> HistoryParts(const Turn* last);
// The same in one piece.
std::string History(const Turn* last);

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_TURN_H_
