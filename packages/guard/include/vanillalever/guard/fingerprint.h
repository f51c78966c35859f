#ifndef VANILLALEVER_GUARD_FINGERPRINT_H_
#define VANILLALEVER_GUARD_FINGERPRINT_H_

#include <string>
#include <string_view>

namespace vanillalever::guard {

// Hash of a request as 32 hex digits. Covers pool, operation and body, but
// neither caller nor program, so that a crash-causing request is recognised
// when any caller sends it again.
std::string RequestFingerprint(std::string_view pool,
                               std::string_view operation,
                               std::string_view body);

// Whether `text` has the format of a fingerprint.
bool IsFingerprint(std::string_view text);

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_FINGERPRINT_H_
