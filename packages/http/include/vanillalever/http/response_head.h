#ifndef VANILLALEVER_HTTP_RESPONSE_HEAD_H_
#define VANILLALEVER_HTTP_RESPONSE_HEAD_H_

#include <boost/beast/http/message.hpp>

#include "vanillalever/base/name_table.h"

namespace vanillalever::http {

// What a response is to the client that sent the request, by its head.
enum class ResponseKind {
  kFinal,          // the response to the request
  kInterim,        // precedes the response to the request
  kInvalidStatus,  // unusable: its status is outside the range of HTTP
  kUpgrade,        // unusable: another protocol, which no client asks for
  kUnknownCoding,  // unusable: its body is in a coding other than chunks
};

// For the reasons of failures.
inline constexpr base::NameTable<ResponseKind, 5> kResponseKindNames({
    "final response",
    "interim response",
    "response with an invalid status",
    "response with a change of protocol",
    "response in an unknown transfer coding",
});

// Interim responses to one request; a server that sends more of them is taken
// for one that sends without end.
inline constexpr int kMaxInterimResponses = 20;

// Classifies a response whose head was parsed without an error: the parser
// takes any three digits for a status, and bytes in an unknown coding for a
// body. `head_only`: the request was a HEAD, so that there is no body. The
// connection of an unusable response must be closed: what follows on it belongs
// to no request.
ResponseKind ClassifyResponse(const boost::beast::http::response_header<>& head,
                              bool head_only);

// Whether the response can neither be passed on nor be skipped.
constexpr bool IsUnusable(ResponseKind kind) {
  return kind != ResponseKind::kFinal && kind != ResponseKind::kInterim;
}

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_RESPONSE_HEAD_H_
