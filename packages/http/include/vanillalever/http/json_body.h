#ifndef VANILLALEVER_HTTP_JSON_BODY_H_
#define VANILLALEVER_HTTP_JSON_BODY_H_

#include <string_view>

#include <nlohmann/json.hpp>

namespace vanillalever::http {

// Maximum nesting depth. nlohmann-json serialises recursively, so a deeply
// nested value from a caller could overflow the stack.
inline constexpr int kMaxJsonDepth = 64;

// Parses a JSON object. Throws base::Error (invalid_request at parse) for text
// that is not JSON, is nested too deeply, or is not an object.
nlohmann::json ParseJsonObject(std::string_view text);

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_JSON_BODY_H_
