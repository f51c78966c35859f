#include "http_exchange.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace vanillalever::fakes {

namespace bhttp = boost::beast::http;

std::string HttpRequest::header(const std::string& name) const {
  auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

void HttpExchange::Respond(int status,
                           const std::string& body,
                           std::string_view content_type) {
  bhttp::response<bhttp::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(status));
  message.set(
      bhttp::field::content_type,
      boost::beast::string_view(content_type.data(), content_type.size()));
  message.keep_alive(keep_alive_);
  message.body() = body;
  message.prepare_payload();
  boost::system::error_code error;
  bhttp::write(socket_, message, error);
  write_failed_ |= error.failed();
}

void HttpExchange::Respond(int status, const nlohmann::json& body) {
  Respond(status, body.dump());
}

void HttpExchange::RespondError(int status, const std::string& message) {
  Respond(status, nlohmann::json{{"error", {{"message", message}}}});
}

void HttpExchange::StartEventStream() {
  keep_alive_ = false;
  WriteText(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Connection: close\r\n\r\n");
}

void HttpExchange::SendEvent(const std::string& data, const std::string& name) {
  std::string head = name.empty() ? "" : "event: " + name + "\n";
  WriteText(head + "data: " + data + "\n\n");
}

bool HttpExchange::ClientClosed() {
  char byte = 0;
  ssize_t size =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool open = size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
  return write_failed_ || !open;
}

void HttpExchange::WriteText(const std::string& text) {
  boost::system::error_code error;
  boost::asio::write(socket_, boost::asio::buffer(text), error);
  write_failed_ |= error.failed();
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      std::string digits(text.substr(i + 1, 2));
      decoded += static_cast<char>(std::strtoul(digits.c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace vanillalever::fakes
