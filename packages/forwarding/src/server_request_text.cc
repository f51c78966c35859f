#include "vanillalever/forwarding/server_request_text.h"

#include <boost/beast/http/verb.hpp>

namespace vanillalever::forwarding {

std::string ServerRequestText(const WireCodec& codec,
                              const CallerRequest& request,
                              std::string_view history,
                              const ServerRequestOptions& options) {
  namespace http = boost::beast::http;
  // Typical size of the head.
  constexpr std::size_t kHeadBytes = 1024;
  HttpFields fields = request.base();
  RemoveConnectionFields(fields);
  codec.PrepareSend(fields, options);
  std::string text;
  std::size_t body_bytes = history.size() + request.body().size();
  text.reserve(kHeadBytes + body_bytes);
  text.append(View(request.method_string())).append(" ");
  text.append(View(request.target())).append(" HTTP/1.1\r\n");
  AppendFields(fields, &text);
  bool has_length = body_bytes > 0 || request.method() == http::verb::post ||
                    request.method() == http::verb::put;
  if (has_length) {
    text.append("Content-Length: ")
        .append(std::to_string(body_bytes))
        .append("\r\n");
  }
  text.append("\r\n").append(history).append(request.body());
  return text;
}

}  // namespace vanillalever::forwarding
