#ifndef VANILLALEVER_FORWARDING_SERVER_REQUEST_H_
#define VANILLALEVER_FORWARDING_SERVER_REQUEST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>

#include "vanillalever/conversation/turn.h"
#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/wire_codec.h"

namespace vanillalever::forwarding {

// A request as it is written to a server. Large bodies are not copied for each
// send: they are written from the caller's request and from the turns of its
// conversation, which all sends share.
struct ServerRequest {
  // Bodies up to this size, in bytes, are a part of `head`, so that the request
  // takes one write.
  static constexpr std::size_t kCopiedBytes = 32 << 10;

  std::string head;
  // Parts of the body that follow the head, in order; owned by the members
  // below.
  std::vector<std::string_view> body;
  std::shared_ptr<const CallerRequest> request;
  conversation::TurnPtr previous_turn;

  // What is to be written, in order. Valid as long as this object.
  std::vector<boost::asio::const_buffer> Buffers() const;
};

// Prepares a caller's request for a server: method and target unchanged, the
// body preceded by the conversation up to `previous_turn`, which may be null,
// header fields as prepared by `codec`.
ServerRequest MakeServerRequest(const WireCodec& codec,
                                std::shared_ptr<const CallerRequest> request,
                                conversation::TurnPtr previous_turn,
                                const ServerRequestOptions& options);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_REQUEST_H_
