#include "vanillalever/forwarding/server_request.h"

#include <utility>

#include <boost/beast/http/verb.hpp>

namespace vanillalever::forwarding {

std::vector<boost::asio::const_buffer> ServerRequest::Buffers() const {
  std::vector<boost::asio::const_buffer> buffers{boost::asio::buffer(head)};
  buffers.reserve(1 + body.size());
  for (std::string_view part : body)
    buffers.emplace_back(part.data(), part.size());
  return buffers;
}

ServerRequest MakeServerRequest(const WireCodec& codec,
                                std::shared_ptr<const CallerRequest> request,
                                conversation::TurnPtr previous_turn,
                                const ServerRequestOptions& options) {
  namespace http = boost::beast::http;
  // Typical size of the head.
  constexpr std::size_t kHeadBytes = 1024;
  HttpFields fields = request->base();
  RemoveConnectionFields(fields);
  codec.PrepareSend(fields, options);
  std::vector<std::string_view> body =
      conversation::HistoryParts(previous_turn.get());
  body.emplace_back(request->body());
  std::size_t body_bytes = 0;
  for (std::string_view part : body)
    body_bytes += part.size();
  bool copied = body_bytes <= ServerRequest::kCopiedBytes;
  ServerRequest send;
  std::string& text = send.head;
  text.reserve(kHeadBytes + (copied ? body_bytes : 0));
  text.append(View(request->method_string())).append(" ");
  text.append(View(request->target())).append(" HTTP/1.1\r\n");
  AppendFields(fields, &text);
  bool has_length = body_bytes > 0 || request->method() == http::verb::post ||
                    request->method() == http::verb::put;
  if (has_length) {
    text.append("Content-Length: ")
        .append(std::to_string(body_bytes))
        .append("\r\n");
  }
  text.append("\r\n");
  if (copied) {
    for (std::string_view part : body)
      text.append(part);
    return send;
  }
  send.body = std::move(body);
  send.request = std::move(request);
  send.previous_turn = std::move(previous_turn);
  return send;
}

}  // namespace vanillalever::forwarding
