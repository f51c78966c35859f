#include "vanillalever/guard/fingerprint.h"

#include <algorithm>
#include <cstddef>

#include "vanillalever/base/hash.h"

namespace vanillalever::guard {

namespace {

constexpr std::size_t kHexDigits = 32;  // 128 bits

// Appends `part` with a length prefix, so that ("ab", "c") and ("a", "bc")
// hash differently.
void AppendField(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::string RequestFingerprint(std::string_view pool,
                               std::string_view operation,
                               std::string_view body) {
  std::string text;
  text.reserve(pool.size() + operation.size() + body.size() + kHexDigits);
  AppendField(text, pool);
  AppendField(text, operation);
  AppendField(text, body);
  return base::Hash128Hex(text);
}

bool IsFingerprint(std::string_view text) {
  return text.size() == kHexDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace vanillalever::guard
