#ifndef VANILLALEVER_BASE_NAME_TABLE_H_
#define VANILLALEVER_BASE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace vanillalever::base {

// Maps the values 0..N-1 of an enumeration to names and back. The names are
// given in the order of the values.
template <typename Enum, std::size_t N>
class NameTable {
 public:
  constexpr explicit NameTable(std::array<std::string_view, N> names)
      : names_(names) {}

  // Name of `value`; "invalid" for a value outside the enumeration.
  constexpr std::string_view name(Enum value) const {
    auto index = static_cast<std::size_t>(value);
    return index < N ? names_[index] : std::string_view("invalid");
  }

  // Value with the given name, or nullopt if there is none.
  constexpr std::optional<Enum> value(std::string_view name) const {
    for (std::size_t i = 0; i < N; ++i) {
      if (names_[i] == name)
        return static_cast<Enum>(i);
    }
    return std::nullopt;
  }

  // All names joined by ", ", for error messages that list the valid names.
  std::string joined() const {
    std::string text;
    for (std::string_view name : names_) {
      if (!text.empty())
        text += ", ";
      text += name;
    }
    return text;
  }

 private:
  std::array<std::string_view, N> names_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_NAME_TABLE_H_
