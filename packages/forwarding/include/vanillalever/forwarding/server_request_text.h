#ifndef VANILLALEVER_FORWARDING_SERVER_REQUEST_TEXT_H_
#define VANILLALEVER_FORWARDING_SERVER_REQUEST_TEXT_H_

#include <string>

#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/wire_codec.h"

namespace vanillalever::forwarding {

// Serializes a caller's request for a server: method, target and body
// unchanged, header fields as prepared by `codec`.
std::string ServerRequestText(const WireCodec& codec,
                              const CallerRequest& request,
                              const ServerRequestOptions& options);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_REQUEST_TEXT_H_
