#include "vanillalever/http/json_body.h"

#include "vanillalever/base/error.h"

namespace vanillalever::http {
namespace {

base::Error InvalidBodyError(const std::string& message) {
  return base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kParse,
                           message);
}

}  // namespace

nlohmann::json ParseJsonObject(std::string_view text) {
  auto check_depth = [](int depth, nlohmann::json::parse_event_t,
                        nlohmann::json&) {
    if (depth > kMaxJsonDepth)
      throw InvalidBodyError("JSON is nested deeper than " +
                             std::to_string(kMaxJsonDepth) + " levels");
    return true;
  };
  nlohmann::json value;
  try {
    value = nlohmann::json::parse(text, check_depth);
  } catch (const nlohmann::json::exception& error) {
    throw InvalidBodyError(std::string("body is not valid JSON: ") +
                           error.what());
  }
  if (!value.is_object())
    throw InvalidBodyError("body must be a JSON object");
  return value;
}

}  // namespace vanillalever::http
