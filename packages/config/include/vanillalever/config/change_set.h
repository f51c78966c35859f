#ifndef VANILLALEVER_CONFIG_CHANGE_SET_H_
#define VANILLALEVER_CONFIG_CHANGE_SET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "vanillalever/config/config_error.h"
#include "vanillalever/config/config_set.h"
#include "vanillalever/config/diff.h"

namespace vanillalever::config {

// Configuration change requested by an operator.
struct ChangeSet {
  // Version the change was prepared against; zero for the empty configuration.
  std::int64_t base_version = 0;
  // Unique idempotency token; a retried request carries the same one.
  std::string token;
  std::string author;
  std::string reason;
  // Objects to add or replace.
  std::vector<Object> put;
  // Objects to delete.
  std::vector<ObjectId> remove;

  bool operator==(const ChangeSet&) const = default;
};

// Result of applying a change set.
struct ChangeResult {
  // The new set; valid only if the change is accepted.
  ConfigSet set;
  // Differences from the set to which the change was applied. An accepted
  // change with no differences needs no new version.
  Diff diff;
  ConfigErrors errors;
  // Objects that conflict with a concurrent change.
  std::vector<ObjectId> conflicts;

  bool accepted() const { return errors.empty() && conflicts.empty(); }
};

// Applies a change to its base version and validates the whole result.
ChangeResult Apply(const ConfigSet& base, const ChangeSet& change);

// Applies a change that was prepared against `base` to the later version
// `current`. Conflicts are the objects that the change modifies and that differ
// between the two versions; if there are none, the objects that are invalid in
// the result although the change was valid against its base.
ChangeResult Rebase(const ConfigSet& base,
                    const ConfigSet& current,
                    const ChangeSet& change);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_CHANGE_SET_H_
