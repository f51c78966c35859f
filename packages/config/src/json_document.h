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
// deeply nested, or repeats a field of one JSON object: the library keeps the
// last of two fields, which would hide a mistake of the author.
std::optional<json> ParseDocument(std::string_view text,
                                  std::string_view source,
                                  ConfigErrors& errors);

// As above, but throws base::Error (invalid_request at step parse) for the
// first fault. For answers and rows written by another process.
json ParseMessage(std::string_view text, std::string_view source);

// Compact JSON text; bytes that are not UTF-8 are replaced.
std::string Dump(const json& value);

// Short description of a value for messages: its type and the start of its
// text.
std::string DescribeValue(const json& value);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_JSON_DOCUMENT_H_
