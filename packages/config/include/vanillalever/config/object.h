#ifndef VANILLALEVER_CONFIG_OBJECT_H_
#define VANILLALEVER_CONFIG_OBJECT_H_

#include <variant>

#include "vanillalever/config/budget.h"
#include "vanillalever/config/object_id.h"
#include "vanillalever/config/organisation.h"
#include "vanillalever/config/place.h"
#include "vanillalever/config/pool.h"
#include "vanillalever/config/priority.h"
#include "vanillalever/config/program_class.h"

namespace vanillalever::config {

// Any declared object; the alternatives are in the order of Kind.
using Object =
    std::variant<Organisation, ProgramClass, Budget, Pool, Priority, Place>;

static_assert(std::variant_size_v<Object> == kKindCount);

// Identity of an object.
ObjectId IdOf(const Object& object);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_OBJECT_H_
