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

// Form of a text field, or of each text of a list.
enum class StringFormat {
  kName,     // name of an object, data centre, region or operation
  kLabel,    // any text of 1 to kMaxLabelLength bytes without control bytes
  kHash,     // 64 lower-case hex digits
  kAddress,  // host:port
};

inline constexpr std::size_t kMaxLabelBytes = 200;

// Bounds of a field: of a number, or of the length of a list.
struct Constraint {
  std::int64_t min = 0;
  std::int64_t max = 0;
  StringFormat format = StringFormat::kName;
};

// Pointer to any member that a field table may describe.
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
  // An optional field that is absent keeps the default of T.
  bool required = false;
  Member<T> member;
  Constraint constraint;
};

// Fields of T in the order of the documentation.
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
