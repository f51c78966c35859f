#include "vanillalever/config/object.h"

namespace vanillalever::config {

ObjectId IdOf(const Object& object) {
  return {static_cast<Kind>(object.index()),
          std::visit([](const auto& alternative) { return alternative.name; },
                     object)};
}

}  // namespace vanillalever::config
