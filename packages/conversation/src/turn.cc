#include "vanillalever/conversation/turn.h"

#include <algorithm>
#include <vector>

namespace vanillalever::conversation {

std::string History(const Turn* last) {
  std::vector<const Turn*> turns;
  std::size_t size = 0;
  for (const Turn* turn = last; turn != nullptr; turn = turn->previous.get()) {
    turns.push_back(turn);
    size += turn->input.size() + turn->output.size();
  }
  std::reverse(turns.begin(), turns.end());
  std::string history;
  history.reserve(size);
  for (const Turn* turn : turns)
    history.append(turn->input).append(turn->output);
  return history;
}

}  // namespace vanillalever::conversation
