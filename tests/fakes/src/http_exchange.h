#ifndef VANILLALEVER_FAKES_HTTP_EXCHANGE_H_
#define VANILLALEVER_FAKES_HTTP_EXCHANGE_H_

#include <utility>

#include <atomic>
#include <map>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

namespace vanillalever::fakes {

// A request received by a test double.
struct HttpRequest {
  std::string method;
  // Percent-decoded, without the query.
  std::string path;
  // Percent-decoded query parameters.
  std::map<std::string, std::string> query;
  // Header fields with lower-case names.
  std::map<std::string, std::string> headers;
  std::string body;

  // Value of the header field with this lower-case name; empty if absent.
  std::string header(const std::string& name) const;
};

// One request and its response, with access to the connection, which the
// production server does not offer: a test double can close the connection
// without a response and detect that the client closed it. Used only by the
// thread of the connection.
class HttpExchange {
 public:
  HttpExchange(boost::asio::ip::tcp::socket& socket,
               HttpRequest request,
               bool keep_alive,
               const std::atomic<bool>& stopping)
      : socket_(socket),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        stopping_(stopping) {}

  const HttpRequest& request() const { return request_; }

  void Respond(int status,
               const std::string& body,
               std::string_view content_type = "application/json");
  void Respond(int status, const nlohmann::json& body);

  // Sends {"error":{"message":...}}.
  void RespondError(int status, const std::string& message);

  // Starts a response of server-sent events with one data line each. The stream
  // ends when the connection is closed.
  void StartEventStream();
  void SendEvent(const std::string& data, const std::string& name = "");

  // Closes the connection without a response, or in the middle of it.
  void DropConnection() { keep_alive_ = false; }

  // Whether the client closed the connection, or a write to it failed.
  bool ClientClosed();

  // Whether the server is stopping; handlers must not block then.
  bool stopping() const { return stopping_; }

  // Whether the connection can be reused for another request.
  bool keep_alive() const { return keep_alive_; }

 private:
  void WriteText(const std::string& text);

  boost::asio::ip::tcp::socket& socket_;
  const HttpRequest request_;
  bool keep_alive_;
  bool write_failed_ = false;
  const std::atomic<bool>& stopping_;
};

// Decodes %XX sequences.
std::string PercentDecode(std::string_view text);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_HTTP_EXCHANGE_H_
