#include "shared_key.h"

#include <array>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace vanillalever::protocol {
namespace {

constexpr std::size_t kNonceBytes = 32;

}  // namespace

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    throw std::runtime_error("no random bytes for a challenge");
  return {bytes.begin(), bytes.end()};
}

std::string MakeProof(std::string_view key, std::string_view nonce) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(nonce.data()), nonce.size(),
       digest.data(), &size);
  return {digest.begin(), digest.begin() + size};
}

bool IsProofValid(std::string_view key,
                  std::string_view nonce,
                  std::string_view proof) {
  std::string expected = MakeProof(key, nonce);
  return proof.size() == expected.size() &&
         CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

}  // namespace vanillalever::protocol
