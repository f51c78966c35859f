#ifndef VANILLALEVER_FORWARDING_WIRE_CODEC_H_
#define VANILLALEVER_FORWARDING_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/request_profile.h"
#include "vanillalever/forwarding/server_load.h"

namespace vanillalever::forwarding {

using HttpFields = boost::beast::http::fields;

// What this system adds to a request for one server.
struct ServerRequestOptions {
  // Time that the caller still waits; the server stops work after it.
  base::milliseconds time_left{0};
  // Any other server that has taken over the address refuses the request.
  std::string expected_server;
  // Rank in the server's queue, 0 (first) to 9.
  int urgency = 5;
  // Last event that the caller holds; empty to start from the beginning.
  std::string last_event_id;
};

// What a server says with its answer, besides status and body.
struct ResponseMetadata {
  // Request that the answer belongs to; empty if the server does not say.
  std::string request_id;
  // The server states that it did not run the request.
  bool not_run = false;
  // The answer carries the server's proof of origin.
  bool authenticated = false;
  std::optional<LoadReport> load;
  // Time after which the server closes the connection while idle.
  std::optional<base::seconds> idle_timeout;
};

// Header fields of callers and servers. The only place that knows their names.
class WireCodec {
 public:
  virtual ~WireCodec() = default;

  virtual RequestProfile DecodeRequest(const HttpFields& fields) const = 0;
  // Turns a caller's header fields into those sent to a server: removes what
  // concerns one connection only or is for this system to set, and adds
  // `orders`.
  virtual void PrepareSend(HttpFields& fields,
                           const ServerRequestOptions& orders) const = 0;
  virtual ResponseMetadata DecodeResponse(int status,
                                          const HttpFields& fields) const = 0;
  // Adds the request's identity to an answer that this process made itself.
  virtual void LabelLocalReply(HttpFields& fields,
                               const std::string& request_id) const = 0;
};

// Removes the header fields that concern one connection only (RFC 9110, 7.6.1).
void RemoveConnectionFields(HttpFields& fields);

// Appends "name: value" lines.
void AppendFields(const HttpFields& fields, std::string* text);

// Converts the HTTP library's view.
inline std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_WIRE_CODEC_H_
