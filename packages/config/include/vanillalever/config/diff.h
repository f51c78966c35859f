#ifndef VANILLALEVER_CONFIG_DIFF_H_
#define VANILLALEVER_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "vanillalever/base/name_table.h"
#include "vanillalever/config/config_set.h"
#include "vanillalever/config/object_id.h"

namespace vanillalever::config {

// What happened to an object.
enum class DiffAction { kAdded, kChanged, kRemoved };

inline constexpr base::NameTable<DiffAction, 3> kDiffActionNames({
    "added",
    "changed",
    "removed",
});

// One changed field.
struct FieldChange {
  // Path, such as "limits.turns" or "operations[refund].repeatable".
  std::string path;
  // JSON text of the value before; empty if the field was absent.
  std::string before;
  // JSON text of the value after; empty if the field is absent.
  std::string after;

  bool operator==(const FieldChange&) const = default;
};

// Difference of one object between two sets.
struct ObjectDiff {
  ObjectId id;
  DiffAction action = DiffAction::kAdded;
  // Changed fields; empty for added and removed objects.
  std::vector<FieldChange> fields;

  bool operator==(const ObjectDiff&) const = default;
};

// Differences between two sets, ordered by kind and name.
using Diff = std::vector<ObjectDiff>;

// Differences that lead from `before` to `after`.
Diff Compare(const ConfigSet& before, const ConfigSet& after);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_DIFF_H_
