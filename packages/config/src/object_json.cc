#include "object_json.h"

#include <array>
#include <optional>
#include <utility>

#include "field_reader.h"
#include "field_table.h"

namespace vanillalever::config {
namespace {

template <typename T>
std::optional<Object> ReadAs(const json& value, FieldReader& reader) {
  T object;
  reader.ReadFields(value, "", object, "kind");
  return Object(std::move(object));
}

using ReadFunction = std::optional<Object> (*)(const json&, FieldReader&);

// In the order of Kind.
constexpr std::array<ReadFunction, kKindCount> kReaders = {
    &ReadAs<Organisation>, &ReadAs<ProgramClass>, &ReadAs<Budget>,
    &ReadAs<Pool>,         &ReadAs<Priority>,     &ReadAs<Place>,
};

std::optional<Kind> ReadKind(const json& value) {
  auto found = value.find("kind");
  if (found == value.end() || !found->is_string())
    return std::nullopt;
  return kKindNames.value(found->get_ref<const std::string&>());
}

std::string ObjectName(const json& value,
                       Kind kind,
                       const std::string& position) {
  auto found = value.find("name");
  if (found == value.end() || !found->is_string() ||
      !IsName(found->get_ref<const std::string&>()))
    return position;
  return ObjectId{kind, found->get<std::string>()}.text();
}

template <typename T>
json WriteFields(const T& object);

json WriteValue(bool value) {
  return value;
}
json WriteValue(std::int64_t value) {
  return value;
}
json WriteValue(double value) {
  return value;
}
json WriteValue(std::chrono::milliseconds value) {
  return value.count();
}
json WriteValue(const std::string& value) {
  return value;
}
json WriteValue(BudgetScope value) {
  return kBudgetScopeNames.name(value);
}
json WriteValue(PoolKind value) {
  return kPoolKindNames.name(value);
}

template <typename T>
json WriteValue(const T& value) {
  return WriteFields(value);
}

template <typename T>
json WriteValue(const std::vector<T>& list) {
  json array = json::array();
  for (const T& element : list)
    array.push_back(WriteValue(element));
  return array;
}

template <typename T>
json WriteFields(const T& object) {
  static const T defaults;
  json value = json::object();
  for (const FieldSpec<T>& field : FieldTable<T>()) {
    std::visit(
        [&](auto member) {
          if (field.required || object.*member != defaults.*member)
            value[std::string(field.name)] = WriteValue(object.*member);
        },
        field.member);
  }
  return value;
}

}  // namespace

void ReadObject(const json& value,
                const std::string& position,
                std::vector<Object>& objects,
                ConfigErrors& errors) {
  if (!value.is_object()) {
    errors.push_back(
        {position, "", "a JSON object, found " + DescribeValue(value)});
    return;
  }
  std::optional<Kind> kind = ReadKind(value);
  if (!kind) {
    std::string found = value.contains("kind") ? DescribeValue(value["kind"])
                                               : std::string("none");
    errors.push_back({position, "kind",
                      "one of " + kKindNames.joined() + ", found " + found});
    return;
  }
  std::size_t before = errors.size();
  FieldReader reader(ObjectName(value, *kind, position), errors);
  std::optional<Object> object =
      kReaders[static_cast<std::size_t>(*kind)](value, reader);
  if (object && errors.size() == before)
    objects.push_back(*std::move(object));
}

void ReadObjects(const json& value,
                 const std::string& position,
                 std::vector<Object>& objects,
                 ConfigErrors& errors) {
  if (!value.is_array()) {
    errors.push_back(
        {position, "", "a list of objects, found " + DescribeValue(value)});
    return;
  }
  for (std::size_t i = 0; i < value.size(); ++i)
    ReadObject(value[i], position + "[" + std::to_string(i) + "]", objects,
               errors);
}

json WriteObject(const Object& object) {
  json value = std::visit(
      [](const auto& alternative) { return WriteFields(alternative); }, object);
  value["kind"] = kKindNames.name(IdOf(object).kind);
  return value;
}

}  // namespace vanillalever::config
