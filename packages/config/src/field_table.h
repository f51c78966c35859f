#ifndef VANILLALEVER_CONFIG_FIELD_TABLE_H_
#define VANILLALEVER_CONFIG_FIELD_TABLE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanillalever/config/object.h"

namespace vanillalever::config {

// Format of a string field, or of each string in an array.
enum class StringFormat {
  kName,     // name of an object, data centre, region or operation
  kLabel,    // any text of 1 to kMaxLabelBytes bytes, no control characters
  kHash,     // 64 lower-case hex digits
  kAddress,  // host:port
};

inline constexpr std::size_t kMaxLabelBytes = 200;

// Constraint of a field: range of a number or of an array's length, or format
// of a string.
struct Constraint {
  std::int64_t min = 0;
  std::int64_t max = 0;
  StringFormat format = StringFormat::kName;
};

// Pointer to a member of any type that a field table supports.
template <typename T>
using Member = std::variant<bool T::*,
                            std::int64_t T::*,
                            double T::*,
                            std::chrono::milliseconds T::*,
                            std::string T::*,
                            std::vector<std::string> T::*,
                            BudgetScope T::*,
                            PoolKind T::*,
                            Limits T::*,
                            std::vector<Operation> T::*,
                            std::vector<PoolServer> T::*,
                            std::vector<Distance> T::*>;

// Describes one JSON field of T.
template <typename T>
struct FieldSpec {
  std::string_view name;
  // A missing optional field keeps the default value of T.
  bool required = false;
  Member<T> member;
  Constraint constraint;
};

// Fields of T in the order of the reference documentation.
template <typename T>
std::span<const FieldSpec<T>> FieldTable();

template <>
std::span<const FieldSpec<Organisation>> FieldTable();
template <>
std::span<const FieldSpec<Limits>> FieldTable();
template <>
std::span<const FieldSpec<ProgramClass>> FieldTable();
template <>
std::span<const FieldSpec<Budget>> FieldTable();
template <>
std::span<const FieldSpec<Operation>> FieldTable();
template <>
std::span<const FieldSpec<PoolServer>> FieldTable();
template <>
std::span<const FieldSpec<Pool>> FieldTable();
template <>
std::span<const FieldSpec<Priority>> FieldTable();
template <>
std::span<const FieldSpec<Distance>> FieldTable();
template <>
std::span<const FieldSpec<Place>> FieldTable();

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_FIELD_TABLE_H_
