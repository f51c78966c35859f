#ifndef VANILLALEVER_PROTOCOL_SRC_CONNECTION_LIMITS_H_
#define VANILLALEVER_PROTOCOL_SRC_CONNECTION_LIMITS_H_

#include <capnp/message.h>
#include <kj/time.h>

namespace vanillalever::protocol {

// Maximum message size. A larger message closes its connection.
inline constexpr std::uint64_t kMaxMessageBytes = 32 << 20;

// Limit for a new connection to authenticate.
inline constexpr kj::Duration kLoginTimeout = 5 * kj::SECONDS;

inline capnp::ReaderOptions MessageLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageBytes / sizeof(capnp::word);
  return options;
}

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_CONNECTION_LIMITS_H_
