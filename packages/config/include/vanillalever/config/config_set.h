#ifndef VANILLALEVER_CONFIG_CONFIG_SET_H_
#define VANILLALEVER_CONFIG_CONFIG_SET_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "vanillalever/config/config_error.h"
#include "vanillalever/config/object.h"

namespace vanillalever::config {

// Objects of one kind by name.
template <typename T>
using ObjectMap = std::map<std::string, T, std::less<>>;

// All objects of one configuration version.
class ConfigSet {
 public:
  // Adds or replaces an object.
  void Put(Object object);

  // Removes an object; returns false if it does not exist.
  bool Remove(const ObjectId& id);

  // Copy of an object, or nullopt.
  std::optional<Object> Find(const ObjectId& id) const;

  // Every object, ordered by kind and name.
  std::vector<Object> Objects() const;

  // All broken references and contradictions between objects; empty if the set
  // may take effect.
  ConfigErrors Validate() const;

  const ObjectMap<Organisation>& organisations() const {
    return Map<Organisation>();
  }
  const ObjectMap<ProgramClass>& program_classes() const {
    return Map<ProgramClass>();
  }
  const ObjectMap<Budget>& budgets() const { return Map<Budget>(); }
  const ObjectMap<Pool>& pools() const { return Map<Pool>(); }
  const ObjectMap<Priority>& priorities() const { return Map<Priority>(); }
  const ObjectMap<Place>& places() const { return Map<Place>(); }

  // Objects of kind T.
  template <typename T>
  const ObjectMap<T>& Map() const {
    return std::get<ObjectMap<T>>(maps_);
  }

  // Object of kind T with the given name; nullptr if there is none. Valid until
  // the set changes.
  template <typename T>
  const T* Find(std::string_view name) const {
    auto found = Map<T>().find(name);
    return found == Map<T>().end() ? nullptr : &found->second;
  }

  bool empty() const;

  // Canonical JSON text: an array of all objects.
  std::string Encode() const;

  // Hash of the canonical text (128-bit xxHash, 32 hex digits).
  std::string BodyHash() const;

  bool operator==(const ConfigSet&) const = default;

 private:
  std::tuple<ObjectMap<Organisation>,
             ObjectMap<ProgramClass>,
             ObjectMap<Budget>,
             ObjectMap<Pool>,
             ObjectMap<Priority>,
             ObjectMap<Place>>
      maps_;
};

// Set built from a list of objects. Two objects of the same kind and name are
// an error; the set is not validated.
struct BuiltSet {
  ConfigSet set;
  ConfigErrors errors;
};
BuiltSet BuildSet(std::vector<Object> objects);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_CONFIG_SET_H_
