#ifndef VANILLALEVER_FORWARDING_SERVER_REQUEST_TEXT_H_
#define VANILLALEVER_FORWARDING_SERVER_REQUEST_TEXT_H_

#include <string>
#include <string_view>

#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/wire_codec.h"

namespace vanillalever::forwarding {

// Serializes a caller's request for a server: method and target unchanged, the
// body preceded by `history`, header fields as prepared by `codec`.
std::string ServerRequestText(const WireCodec& codec,
                              const CallerRequest& request,
                              std::string_view history,
                              const ServerRequestOptions& options);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_REQUEST_TEXT_H_
