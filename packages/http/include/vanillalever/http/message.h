#ifndef VANILLALEVER_HTTP_MESSAGE_H_
#define VANILLALEVER_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/error.h"

namespace vanillalever::http {

// Request as a handler sees it.
struct Request {
  std::string method;
  // Path without the query string, percent-encoding left as received.
  std::string path;
  // Query parameters; a repeated name keeps its last value.
  std::map<std::string, std::string> query;
  // Header fields with lower-case names.
  std::map<std::string, std::string> headers;
  // Values of the route's {placeholders}.
  std::map<std::string, std::string> parameters;
  std::string body;
  // Remote address as "ip:port".
  std::string peer;

  // Value of a header field (lower-case name), or an empty string.
  std::string header(const std::string& name) const;
  // Token of an "Authorization: Bearer" header, or an empty string.
  std::string bearer_token() const;
};

// Complete response, or the head of a streamed one.
struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// HTTP status that corresponds to an error code.
int HttpStatus(base::ErrorCode code);

// JSON text {"error":{"code","message","step","peer","ran","retry_after_ms"}}.
std::string ErrorBody(const base::ErrorInfo& info);

// Response with ErrorBody and, where the error allows a retry, Retry-After.
Response ErrorResponse(const base::ErrorInfo& info);

// Reads an ErrorBody; a body of another form becomes an error with `fallback`
// as its code, an excerpt of the body as its message, and ran = unknown.
base::ErrorInfo ParseErrorBody(const std::string& body,
                               base::ErrorCode fallback);

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_MESSAGE_H_
