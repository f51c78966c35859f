#ifndef VANILLALEVER_CONFIG_CONFIG_ERROR_H_
#define VANILLALEVER_CONFIG_CONFIG_ERROR_H_

#include <string>
#include <vector>

namespace vanillalever::config {

// One error in a declared object or a set of objects.
struct ConfigError {
  // "kind/name", or the position in the input if no name could be read.
  std::string object;
  // Path of the field, such as "limits.turns" or "operations[2].name"; empty if
  // the error concerns the whole object.
  std::string field;
  // What was expected and what was found.
  std::string expected;

  bool operator==(const ConfigError&) const = default;
};

using ConfigErrors = std::vector<ConfigError>;

// One line "object: field: expected ..." for display.
std::string Describe(const ConfigError& error);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_CONFIG_ERROR_H_
