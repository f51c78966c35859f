#include "vanillalever/config/config_error.h"

namespace vanillalever::config {

std::string Describe(const ConfigError& error) {
  std::string text = error.object;
  if (!error.field.empty())
    text += ": " + error.field;
  return text + ": expected " + error.expected;
}

}  // namespace vanillalever::config
