#include "vanillalever/config/object_codec.h"

#include <array>
#include <type_traits>

#include "field_table.h"
#include "object_json.h"

namespace vanillalever::config {
namespace {

template <typename T>
void ListFields(const std::string& prefix, std::vector<FieldInfo>& fields);

// Lists the fields nested in a field; none for scalars.
template <typename T>
void ListNestedFields(const std::string& path,
                      const T* /*value*/,
                      std::vector<FieldInfo>& fields) {
  if constexpr (std::is_class_v<T> && std::is_aggregate_v<T>)
    ListFields<T>(path + ".", fields);
}

template <typename T>
void ListNestedFields(const std::string& path,
                      const std::vector<T>* /*value*/,
                      std::vector<FieldInfo>& fields) {
  ListNestedFields(path + "[]", static_cast<const T*>(nullptr), fields);
}

template <typename T>
void ListFields(const std::string& prefix, std::vector<FieldInfo>& fields) {
  static const T defaults;
  for (const FieldSpec<T>& field : FieldTable<T>()) {
    std::string path = prefix + std::string(field.name);
    fields.push_back({path, field.required});
    std::visit(
        [&](auto member) {
          ListNestedFields(path, &(defaults.*member), fields);
        },
        field.member);
  }
}

using ListFunction = void (*)(const std::string&, std::vector<FieldInfo>&);

// In the order of Kind.
constexpr std::array<ListFunction, kKindCount> kFieldListers = {
    &ListFields<Organisation>, &ListFields<ProgramClass>, &ListFields<Budget>,
    &ListFields<Pool>,         &ListFields<Priority>,     &ListFields<Place>,
};

}  // namespace

ParsedObjects ParseObjects(std::string_view text, std::string_view source) {
  ParsedObjects parsed;
  std::optional<json> document = ParseDocument(text, source, parsed.errors);
  if (!document)
    return parsed;
  std::string position(source);
  if (document->is_array())
    ReadObjects(*document, position, parsed.objects, parsed.errors);
  else
    ReadObject(*document, position, parsed.objects, parsed.errors);
  return parsed;
}

std::string EncodeObject(const Object& object) {
  return Dump(WriteObject(object));
}

std::vector<FieldInfo> FieldsOf(Kind kind) {
  std::vector<FieldInfo> fields = {{"kind", true}};
  kFieldListers[static_cast<std::size_t>(kind)]("", fields);
  return fields;
}

}  // namespace vanillalever::config
