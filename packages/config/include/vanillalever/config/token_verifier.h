#ifndef VANILLALEVER_CONFIG_TOKEN_VERIFIER_H_
#define VANILLALEVER_CONFIG_TOKEN_VERIFIER_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/config/config_set.h"

namespace vanillalever::config {

// Maps bearer tokens to organisations. Immutable, hence safe to share between
// threads.
class TokenVerifier {
 public:
  explicit TokenVerifier(const ConfigSet& set);

  // Name of the organisation that owns `token`, or nullopt. To resist timing
  // attacks, every hash is compared, each in constant time, so that the
  // duration depends only on the token's length.
  std::optional<std::string> Verify(std::string_view token) const;

 private:
  using Digest = std::array<unsigned char, 32>;
  struct Entry {
    Digest digest;
    std::string organisation;
  };

  std::vector<Entry> entries_;
};

// SHA-256 of a bearer token as 64 lower-case hex digits, the form in which
// organisations declare their tokens.
std::string HashToken(std::string_view token);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_TOKEN_VERIFIER_H_
