#ifndef VANILLALEVER_BASE_HASH_H_
#define VANILLALEVER_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalever::base {

// 64-bit xxHash (XXH3); stable across processes and versions.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

// 128-bit xxHash (XXH3) as 32 hex digits.
std::string Hash128Hex(std::string_view data);

// The lowest `digits` hexadecimal digits of `value`, in lower case, padded with
// zeros.
std::string HexString(std::uint64_t value, int digits = 16);

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_HASH_H_
