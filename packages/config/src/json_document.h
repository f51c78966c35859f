#ifndef VANILLALEVER_CONFIG_JSON_DOCUMENT_H_
#define VANILLALEVER_CONFIG_JSON_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "vanillalever/config/config_error.h"

namespace vanillalever::config {

using nlohmann::json;

// Parses one JSON document. Reports text that is not JSON, is too large or too
// deeply nested, or has a duplicate field in a JSON object: the library
// silently keeps the last value, which would hide a mistake.
std::optional<json> ParseDocument(std::string_view text,
                                  std::string_view source,
                                  ConfigErrors& errors);

// As above, but throws base::Error (invalid_request at step parse) for the
// first error. For responses and rows written by another process.
json ParseMessage(std::string_view text, std::string_view source);

// Compact JSON text; invalid UTF-8 is replaced.
std::string Dump(const json& value);

// Short description of a value for error messages: its type and the start of
// its JSON text.
std::string DescribeValue(const json& value);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_JSON_DOCUMENT_H_
