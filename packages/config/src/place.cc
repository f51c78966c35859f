#include "vanillalever/config/place.h"

namespace vanillalever::config {

std::optional<double> Place::distance(std::string_view from,
                                      std::string_view to) const {
  if (from == to)
    return 0.0;
  for (const Distance& pair : distances) {
    if ((pair.from == from && pair.to == to) ||
        (pair.from == to && pair.to == from))
      return pair.ms;
  }
  return std::nullopt;
}

}  // namespace vanillalever::config
