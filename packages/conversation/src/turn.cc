#include "vanillalever/conversation/turn.h"

#include <algorithm>

namespace vanillalever::conversation {

std::vector<std::string_view> HistoryParts(const Turn* last) {
  std::vector<std::string_view> parts;
  for (const Turn* turn = last; turn != nullptr; turn = turn->previous.get()) {
    parts.emplace_back(turn->output);
    parts.emplace_back(turn->input);
  }
  std::reverse(parts.begin(), parts.end());
  return parts;
}

std::string History(const Turn* last) {
  std::string history;
  for (std::string_view part : HistoryParts(last))
    history.append(part);
  return history;
}

}  // namespace vanillalever::conversation
