#include "vanillalever/guard/fingerprint.h"

#include <algorithm>
#include <cstddef>

#include "vanillalever/base/hash.h"

namespace vanillalever::guard {

namespace {

// Hex digits of the hash.
constexpr std::size_t kDigits = 32;

// The length prefix keeps ("ab", "c") and ("a", "bc") apart.
void Append(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::string RequestFingerprint(std::string_view pool,
                               std::string_view operation,
                               std::string_view body) {
  std::string text;
  text.reserve(pool.size() + operation.size() + body.size() + kDigits);
  Append(text, pool);
  Append(text, operation);
  Append(text, body);
  return base::Hash128Hex(text);
}

bool IsFingerprint(std::string_view text) {
  return text.size() == kDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace vanillalever::guard
