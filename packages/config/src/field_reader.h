#ifndef VANILLALEVER_CONFIG_FIELD_READER_H_
#define VANILLALEVER_CONFIG_FIELD_READER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "field_table.h"
#include "json_document.h"

namespace vanillalever::config {

// Fills aggregates from JSON using their field tables and collects all errors.
class FieldReader {
 public:
  // `object` identifies the declared object in errors.
  FieldReader(std::string object, ConfigErrors& errors)
      : object_(std::move(object)), errors_(errors) {}

  // Reads all fields of T. A field named `ignored` is read elsewhere and is not
  // reported as unknown.
  template <typename T>
  void ReadFields(const json& value,
                  const std::string& path,
                  T& target,
                  std::string_view ignored = "") {
    if (!value.is_object()) {
      AddError(path, "a JSON object, found " + DescribeValue(value));
      return;
    }
    for (const FieldSpec<T>& field : FieldTable<T>())
      ReadField(value, path, target, field);
    for (const auto& [name, unused] : value.items()) {
      if (name != ignored && !HasField<T>(name))
        AddError(Join(path, name),
                 "no such field; known are " + FieldNames<T>());
    }
  }

  void AddError(const std::string& path, std::string expected);

 private:
  template <typename T>
  static bool HasField(std::string_view name) {
    return std::ranges::any_of(FieldTable<T>(), [name](const auto& field) {
      return field.name == name;
    });
  }

  template <typename T>
  static std::string FieldNames() {
    std::string text;
    for (const FieldSpec<T>& field : FieldTable<T>())
      text += (text.empty() ? "" : ", ") + std::string(field.name);
    return text;
  }

  template <typename T>
  void ReadField(const json& value,
                 const std::string& path,
                 T& target,
                 const FieldSpec<T>& field) {
    std::string field_path = Join(path, field.name);
    auto found = value.find(field.name);
    if (found == value.end()) {
      if (field.required)
        AddError(field_path, "this field, found none");
      return;
    }
    std::visit(
        [&](auto member) {
          Read(*found, field_path, field.constraint, target.*member);
        },
        field.member);
  }

  template <typename T>
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            std::vector<T>& target) {
    if (!RequireArray(value, path, constraint))
      return;
    target.resize(value.size());
    for (std::size_t i = 0; i < value.size(); ++i)
      Read(value[i], path + "[" + std::to_string(i) + "]", constraint,
           target[i]);
    if (std::size_t i = FirstDuplicate(value); i < value.size())
      AddError(path + "[" + std::to_string(i) + "]", "an element only once");
  }

  // Nested JSON objects.
  template <typename T>
  void Read(const json& value,
            const std::string& path,
            const Constraint& /*constraint*/,
            T& target) {
    ReadFields(value, path, target);
  }

  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            bool& target);
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            std::int64_t& target);
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            double& target);
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            std::chrono::milliseconds& target);
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            std::string& target);
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            BudgetScope& target);
  void Read(const json& value,
            const std::string& path,
            const Constraint& constraint,
            PoolKind& target);

  bool RequireArray(const json& value,
                    const std::string& path,
                    const Constraint& constraint);

  // Index of the first element that equals an earlier one; the array size if
  // there is none.
  static std::size_t FirstDuplicate(const json& list);

  static std::string Join(const std::string& path, std::string_view name);

  std::string object_;
  ConfigErrors& errors_;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_FIELD_READER_H_
