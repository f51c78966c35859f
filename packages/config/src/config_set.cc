#include "vanillalever/config/config_set.h"

#include <utility>

#include "object_json.h"
#include "validator.h"
#include "vanillalever/base/hash.h"

namespace vanillalever::config {
namespace {

// Calls `visit` with the map of the given kind.
template <typename Maps, typename Visitor, std::size_t... kIndex>
void VisitMap(Maps& maps,
              Kind kind,
              Visitor&& visit,
              std::index_sequence<kIndex...> /*indices*/) {
  ((static_cast<std::size_t>(kind) == kIndex ? visit(std::get<kIndex>(maps))
                                             : void()),
   ...);
}

constexpr std::make_index_sequence<kKindCount> kIndices;

}  // namespace

void ConfigSet::Put(Object object) {
  std::visit(
      [this]<typename T>(T& alternative) {
        std::string name = alternative.name;
        std::get<ObjectMap<T>>(maps_).insert_or_assign(std::move(name),
                                                       std::move(alternative));
      },
      object);
}

bool ConfigSet::Remove(const ObjectId& id) {
  bool removed = false;
  VisitMap(
      maps_, id.kind, [&](auto& map) { removed = map.erase(id.name) > 0; },
      kIndices);
  return removed;
}

std::optional<Object> ConfigSet::Find(const ObjectId& id) const {
  std::optional<Object> object;
  VisitMap(
      maps_, id.kind,
      [&](const auto& map) {
        if (auto found = map.find(id.name); found != map.end())
          object = found->second;
      },
      kIndices);
  return object;
}

std::vector<Object> ConfigSet::Objects() const {
  std::vector<Object> objects;
  auto append = [&objects](const auto& map) {
    for (const auto& [name, object] : map)
      objects.emplace_back(object);
  };
  std::apply([&](const auto&... map) { (append(map), ...); }, maps_);
  return objects;
}

ConfigErrors ConfigSet::Validate() const {
  return Validator(*this).Validate();
}

bool ConfigSet::empty() const {
  return std::apply([](const auto&... map) { return (map.empty() && ...); },
                    maps_);
}

std::string ConfigSet::Encode() const {
  json array = json::array();
  for (const Object& object : Objects())
    array.push_back(WriteObject(object));
  return Dump(array);
}

std::string ConfigSet::BodyHash() const {
  return base::Hash128Hex(Encode());
}

BuiltSet BuildSet(std::vector<Object> objects) {
  BuiltSet built;
  for (Object& object : objects) {
    ObjectId id = IdOf(object);
    if (built.set.Find(id))
      built.errors.push_back(
          {id.text(), "name", "a name that no other object of its kind has"});
    else
      built.set.Put(std::move(object));
  }
  return built;
}

}  // namespace vanillalever::config
