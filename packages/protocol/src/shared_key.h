#ifndef VANILLALEVER_PROTOCOL_SRC_SHARED_KEY_H_
#define VANILLALEVER_PROTOCOL_SRC_SHARED_KEY_H_

#include <string>
#include <string_view>

namespace vanillalever::protocol {

// Returns cryptographically random bytes for a challenge.
std::string MakeNonce();

// Returns HMAC-SHA256(key, nonce).
std::string MakeProof(std::string_view key, std::string_view nonce);

// Verifies a proof; compares in constant time.
bool IsProofValid(std::string_view key,
                  std::string_view nonce,
                  std::string_view proof);

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_SHARED_KEY_H_
