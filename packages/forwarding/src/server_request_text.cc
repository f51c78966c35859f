#include "vanillalever/forwarding/server_request_text.h"

#include <boost/beast/http/verb.hpp>

namespace vanillalever::forwarding {

std::string ServerRequestText(const WireCodec& codec,
                              const CallerRequest& request,
                              const ServerRequestOptions& options) {
  namespace http = boost::beast::http;
  // Typical size of the head.
  constexpr std::size_t kHeadBytes = 1024;
  HttpFields fields = request.base();
  RemoveConnectionFields(fields);
  codec.PrepareSend(fields, options);
  std::string text;
  text.reserve(kHeadBytes + request.body().size());
  text.append(View(request.method_string())).append(" ");
  text.append(View(request.target())).append(" HTTP/1.1\r\n");
  AppendFields(fields, &text);
  bool has_length = !request.body().empty() ||
                    request.method() == http::verb::post ||
                    request.method() == http::verb::put;
  if (has_length) {
    text.append("Content-Length: ")
        .append(std::to_string(request.body().size()))
        .append("\r\n");
  }
  text.append("\r\n").append(request.body());
  return text;
}

}  // namespace vanillalever::forwarding
