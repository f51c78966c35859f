#include "vanillalever/config/token_verifier.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "vanillalever/base/error.h"

namespace vanillalever::config {
namespace {

using Digest = std::array<unsigned char, 32>;

Digest Sha256(std::string_view text) {
  Digest digest{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1 ||
      size != digest.size())
    throw base::NotRunError(base::ErrorCode::kInternal,
                            base::Step::kAuthenticate,
                            "SHA-256 is not available");
  return digest;
}

unsigned HexValue(char digit) {
  return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

// Digest from 64 lower-case hex digits, which the parser has validated.
Digest FromHex(std::string_view hex) {
  Digest digest{};
  for (std::size_t i = 0; i < digest.size(); ++i)
    digest[i] = static_cast<unsigned char>(HexValue(hex[2 * i]) << 4 |
                                           HexValue(hex[2 * i + 1]));
  return digest;
}

}  // namespace

TokenVerifier::TokenVerifier(const ConfigSet& set) {
  for (const auto& [name, organisation] : set.organisations()) {
    for (const std::string& hash : organisation.token_hashes) {
      if (hash.size() == 2 * Digest().size())
        entries_.push_back({FromHex(hash), name});
    }
  }
}

std::optional<std::string> TokenVerifier::Verify(std::string_view token) const {
  Digest digest = Sha256(token);
  const Entry* match = nullptr;
  for (const Entry& entry : entries_) {
    if (CRYPTO_memcmp(entry.digest.data(), digest.data(), digest.size()) == 0)
      match = &entry;
  }
  if (match == nullptr)
    return std::nullopt;
  return match->organisation;
}

std::string HashToken(std::string_view token) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned char byte : Sha256(token)) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

}  // namespace vanillalever::config
