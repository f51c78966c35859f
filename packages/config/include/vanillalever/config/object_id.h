#ifndef VANILLALEVER_CONFIG_OBJECT_ID_H_
#define VANILLALEVER_CONFIG_OBJECT_ID_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "vanillalever/base/name_table.h"

namespace vanillalever::config {

// Kind of a declared object, in the order of the alternatives of Object.
enum class Kind {
  kOrganisation,
  kProgramClass,
  kBudget,
  kPool,
  kPriority,
  kPlace,
};

inline constexpr std::size_t kKindCount = 6;

inline constexpr base::NameTable<Kind, kKindCount> kKindNames({
    "organisation",
    "program_class",
    "budget",
    "pool",
    "priority",
    "place",
});

// Identity of an object within a configuration version.
struct ObjectId {
  Kind kind = Kind::kOrganisation;
  std::string name;

  // Text form "kind/name", as used in messages and change sets.
  std::string text() const;

  bool operator==(const ObjectId&) const = default;
  // Orders by kind, then by name.
  std::strong_ordering operator<=>(const ObjectId& other) const;
};

// Parses "kind/name"; nullopt if the kind is unknown or the name malformed.
std::optional<ObjectId> ParseObjectId(std::string_view text);

// Maximum length of an object name, in characters.
inline constexpr std::size_t kMaxNameLength = 63;

// Whether `name` starts with a lower-case letter or digit and continues with
// lower-case letters, digits, '-', '_' and '.'.
bool IsName(std::string_view name);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_OBJECT_ID_H_
