#include "vanillalever/base/hash.h"

#include <xxhash.h>

namespace vanillalever::base {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Hash128Hex(std::string_view data) {
  XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return HexString(hash.high64) + HexString(hash.low64);
}

std::string HexString(std::uint64_t value, int digits) {
  static constexpr char kDigits[] = "0123456789abcdef";
  auto length = static_cast<std::size_t>(digits);
  std::string text(length, '0');
  for (std::size_t i = length; i > 0; --i) {
    text[i - 1] = kDigits[value & 0xf];
    value >>= 4;
  }
  return text;
}

}  // namespace vanillalever::base
