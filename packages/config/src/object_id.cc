#include "vanillalever/config/object_id.h"

#include <tuple>

namespace vanillalever::config {

std::strong_ordering ObjectId::operator<=>(const ObjectId& other) const {
  return std::tie(kind, name) <=> std::tie(other.kind, other.name);
}

std::string ObjectId::text() const {
  return std::string(kKindNames.name(kind)) + "/" + name;
}

std::optional<ObjectId> ParseObjectId(std::string_view text) {
  std::size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  std::optional<Kind> kind = kKindNames.value(text.substr(0, slash));
  std::string_view name = text.substr(slash + 1);
  if (!kind || !IsName(name))
    return std::nullopt;
  return ObjectId{*kind, std::string(name)};
}

bool IsName(std::string_view name) {
  constexpr std::string_view kFirst = "abcdefghijklmnopqrstuvwxyz0123456789";
  constexpr std::string_view kRest = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !name.empty() && name.size() <= kMaxNameLength &&
         kFirst.find(name.front()) != std::string_view::npos &&
         name.find_first_not_of(kRest) == std::string_view::npos;
}

}  // namespace vanillalever::config
