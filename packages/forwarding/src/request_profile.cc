#include "vanillalever/forwarding/request_profile.h"

#include <algorithm>
#include <iterator>

namespace vanillalever::forwarding {

bool HasValidIds(const RequestProfile& profile, std::size_t max_bytes) {
  const std::string* ids[] = {&profile.request_id, &profile.program,
                              &profile.resumed_request, &profile.previous_turn};
  return std::all_of(
      std::begin(ids), std::end(ids), [max_bytes](const std::string* id) {
        return id->size() <= max_bytes &&
               std::all_of(id->begin(), id->end(),
                           [](char c) { return c >= ' ' && c <= '~'; });
      });
}

}  // namespace vanillalever::forwarding
