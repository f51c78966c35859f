#include "vanillalever/config/change_set.h"

#include <set>
#include <utility>

namespace vanillalever::config {
namespace {

// Object name under which errors of the change set itself are reported.
constexpr char kChange[] = "change";

void RequireText(const std::string& text,
                 const char* field,
                 ConfigErrors& errors) {
  if (text.empty())
    errors.push_back({kChange, field, "a text, found none"});
}

void CheckChange(const ChangeSet& change, ConfigErrors& errors) {
  RequireText(change.token, "token", errors);
  RequireText(change.author, "author", errors);
  RequireText(change.reason, "reason", errors);
  if (change.put.empty() && change.remove.empty())
    errors.push_back(
        {kChange, "put", "an object to put or delete, found none"});
  std::set<ObjectId> seen;
  for (const Object& object : change.put) {
    ObjectId id = IdOf(object);
    if (!seen.insert(id).second)
      errors.push_back({id.text(), "", "to be in the change only once"});
  }
  for (const ObjectId& id : change.remove) {
    if (!seen.insert(id).second)
      errors.push_back({id.text(), "", "to be in the change only once"});
  }
}

std::vector<ObjectId> ChangedIds(const ChangeSet& change) {
  std::vector<ObjectId> ids = change.remove;
  for (const Object& object : change.put)
    ids.push_back(IdOf(object));
  return ids;
}

void AddErrorIds(const ConfigErrors& errors, std::vector<ObjectId>& ids) {
  std::set<ObjectId> unique(ids.begin(), ids.end());
  for (const ConfigError& error : errors) {
    if (auto id = ParseObjectId(error.object))
      unique.insert(*id);
  }
  ids.assign(unique.begin(), unique.end());
}

}  // namespace

ChangeResult Apply(const ConfigSet& base, const ChangeSet& change) {
  ChangeResult result;
  result.set = base;
  CheckChange(change, result.errors);
  for (const ObjectId& id : change.remove) {
    if (!result.set.Remove(id))
      result.errors.push_back(
          {id.text(), "", "a declared object to delete, found none"});
  }
  for (const Object& object : change.put)
    result.set.Put(object);
  ConfigErrors set_errors = result.set.Validate();
  result.errors.insert(result.errors.end(), set_errors.begin(),
                       set_errors.end());
  result.diff = Compare(base, result.set);
  return result;
}

ChangeResult Rebase(const ConfigSet& base,
                    const ConfigSet& current,
                    const ChangeSet& change) {
  ChangeResult against_base = Apply(base, change);
  if (!against_base.accepted() || base == current)
    return against_base;
  std::vector<ObjectId> conflicts;
  for (const ObjectId& id : ChangedIds(change)) {
    if (base.Find(id) != current.Find(id))
      conflicts.push_back(id);
  }
  ChangeResult result = Apply(current, change);
  // The change was valid against its base, so all errors are due to the
  // concurrent changes.
  if (!conflicts.empty())
    result.errors.clear();
  AddErrorIds(result.errors, conflicts);
  result.conflicts = std::move(conflicts);
  return result;
}

}  // namespace vanillalever::config
