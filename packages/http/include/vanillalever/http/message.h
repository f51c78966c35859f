#ifndef VANILLALEVER_HTTP_MESSAGE_H_
#define VANILLALEVER_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/error.h"

namespace vanillalever::http {

// Request passed to a handler.
struct Request {
  std::string method;
  // Path without the query string; percent-encoding is not decoded.
  std::string path;
  // Query parameters; the last value of a repeated name is kept.
  std::map<std::string, std::string> query;
  // Header fields with lower-case names.
  std::map<std::string, std::string> headers;
  // Values of the {placeholders} of the route pattern.
  std::map<std::string, std::string> parameters;
  std::string body;
  // Remote address as "ip:port".
  std::string peer;

  // Value of the header field with this lower-case name, or an empty string.
  std::string header(const std::string& name) const;
  // Token of an "Authorization: Bearer" header, or an empty string.
  std::string bearer_token() const;
};

// Complete response, or the status and headers of a streamed one.
struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// HTTP status code for an error code.
int HttpStatus(base::ErrorCode code);

// JSON text {"error":{"code","message","step","peer","ran","retry_after_ms"}}.
std::string ErrorBody(const base::ErrorInfo& info);

// Response with an ErrorBody() and, if the error allows a retry, a Retry-After
// header.
Response ErrorResponse(const base::ErrorInfo& info);

// Parses the text of ErrorBody(). For any other text, returns an error with
// code `fallback`, an excerpt of the text as message, and ran = unknown.
base::ErrorInfo ParseErrorBody(const std::string& body,
                               base::ErrorCode fallback);

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_MESSAGE_H_
