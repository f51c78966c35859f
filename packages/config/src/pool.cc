#include "vanillalever/config/pool.h"

#include <algorithm>

namespace vanillalever::config {

const Operation* Pool::operation(std::string_view operation_name) const {
  auto found = std::ranges::find(operations, operation_name, &Operation::name);
  return found == operations.end() ? nullptr : &*found;
}

}  // namespace vanillalever::config
