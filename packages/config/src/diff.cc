#include "vanillalever/config/diff.h"

#include <map>
#include <optional>
#include <set>

#include "object_json.h"

namespace vanillalever::config {
namespace {

std::string Join(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

// Elements by name, or nullopt unless all are JSON objects with distinct names.
std::optional<std::map<std::string, json>> IndexByName(const json& list) {
  std::map<std::string, json> elements;
  for (const json& element : list) {
    if (!element.is_object() || !element.contains("name") ||
        !elements.emplace(element["name"].get<std::string>(), element).second)
      return std::nullopt;
  }
  return elements;
}

void CompareValues(const std::string& path,
                   const json* before,
                   const json* after,
                   std::vector<FieldChange>& changes);

const json* FindField(const json& object, const std::string& name) {
  auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

void CompareFields(const std::string& path,
                   const json& before,
                   const json& after,
                   std::vector<FieldChange>& changes) {
  std::set<std::string> names;
  for (const auto& [name, value] : before.items())
    names.insert(name);
  for (const auto& [name, value] : after.items())
    names.insert(name);
  for (const std::string& name : names)
    CompareValues(Join(path, name), FindField(before, name),
                  FindField(after, name), changes);
}

void CompareElements(const std::string& path,
                     const std::map<std::string, json>& before,
                     const std::map<std::string, json>& after,
                     std::vector<FieldChange>& changes) {
  std::set<std::string> names;
  for (const auto& [name, value] : before)
    names.insert(name);
  for (const auto& [name, value] : after)
    names.insert(name);
  for (const std::string& name : names) {
    auto old_element = before.find(name);
    auto new_element = after.find(name);
    std::string element_path = path;
    element_path.append("[").append(name).append("]");
    CompareValues(element_path,
                  old_element == before.end() ? nullptr : &old_element->second,
                  new_element == after.end() ? nullptr : &new_element->second,
                  changes);
  }
}

void CompareValues(const std::string& path,
                   const json* before,
                   const json* after,
                   std::vector<FieldChange>& changes) {
  if (before != nullptr && after != nullptr) {
    if (*before == *after)
      return;
    if (before->is_object() && after->is_object()) {
      CompareFields(path, *before, *after, changes);
      return;
    }
    if (before->is_array() && after->is_array()) {
      auto old_elements = IndexByName(*before);
      auto new_elements = IndexByName(*after);
      std::size_t count = changes.size();
      if (old_elements && new_elements)
        CompareElements(path, *old_elements, *new_elements, changes);
      // If only the order differs, the whole array is reported.
      if (changes.size() > count)
        return;
    }
  }
  changes.push_back({path, before == nullptr ? "" : Dump(*before),
                     after == nullptr ? "" : Dump(*after)});
}

}  // namespace

Diff Compare(const ConfigSet& before, const ConfigSet& after) {
  std::map<ObjectId, ObjectDiff> differences;
  for (const Object& object : before.Objects()) {
    ObjectId id = IdOf(object);
    std::optional<Object> current = after.Find(id);
    if (!current) {
      differences[id] = {id, DiffAction::kRemoved, {}};
    } else if (*current != object) {
      ObjectDiff& difference = differences[id];
      difference = {id, DiffAction::kChanged, {}};
      CompareFields("", WriteObject(object), WriteObject(*current),
                    difference.fields);
    }
  }
  for (const Object& object : after.Objects()) {
    ObjectId id = IdOf(object);
    if (!before.Find(id))
      differences[id] = {id, DiffAction::kAdded, {}};
  }
  Diff diff;
  for (auto& [id, difference] : differences)
    diff.push_back(std::move(difference));
  return diff;
}

}  // namespace vanillalever::config
