#ifndef VANILLALEVER_FORWARDING_STREAM_RECORD_H_
#define VANILLALEVER_FORWARDING_STREAM_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "vanillalever/forwarding/version_history.h"

namespace vanillalever::forwarding {

// Where a stream began.
struct StreamOrigin {
  std::string service;
  // Software version of the server that sent the first event.
  std::string version;

  bool operator==(const StreamOrigin&) const = default;
};

// Values of rows in the shared table; nothing if the bytes are malformed.
std::string EncodeStreamOrigin(const StreamOrigin& origin);
std::optional<StreamOrigin> DecodeStreamOrigin(std::string_view bytes);
std::string EncodeServedVersions(const ServedVersions& versions);
std::optional<ServedVersions> DecodeServedVersions(std::string_view bytes);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STREAM_RECORD_H_
