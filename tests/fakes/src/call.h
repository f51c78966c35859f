#ifndef VANILLALEVER_FAKES_CALL_H_
#define VANILLALEVER_FAKES_CALL_H_

#include <utility>

#include <atomic>
#include <map>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

namespace vanillalever::fakes {

// Request as a fake sees it.
struct CallRequest {
  std::string method;
  // Percent-decoded, without the query.
  std::string path;
  // Percent-decoded query parameters.
  std::map<std::string, std::string> query;
  // Header fields with lower-case names.
  std::map<std::string, std::string> headers;
  std::string body;

  // Value of a header field (lower-case name), or an empty string.
  std::string header(const std::string& name) const;
};

// One request with control over its connection, which production servers do
// not give: a fake can end it without an answer and see the client close it.
// Used by the connection's own thread only.
class Call {
 public:
  Call(boost::asio::ip::tcp::socket& socket,
       CallRequest request,
       bool keep_alive,
       const std::atomic<bool>& stopping)
      : socket_(socket),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        stopping_(stopping) {}

  const CallRequest& request() const { return request_; }

  void Respond(int status,
               const std::string& body,
               std::string_view content_type = "application/json");
  void Respond(int status, const nlohmann::json& body);

  // Sends {"error":{"message":...}}.
  void Fail(int status, const std::string& message);

  // Server-sent events: the head, then events of one data line. The stream ends
  // with the connection.
  void StartEvents();
  void SendEvent(const std::string& data, const std::string& name = "");

  // Closes the connection without an answer, or without the rest of it.
  void Drop() { keep_alive_ = false; }

  // Whether the client closed the connection, or a write to it failed.
  bool PeerClosed();

  // Whether the server is about to stop, so that a handler must not wait.
  bool stopping() const { return stopping_; }

  // Whether the connection may carry a further request.
  bool keep_alive() const { return keep_alive_; }

 private:
  void WriteText(const std::string& text);

  boost::asio::ip::tcp::socket& socket_;
  const CallRequest request_;
  bool keep_alive_;
  bool write_failed_ = false;
  const std::atomic<bool>& stopping_;
};

// Replaces %XX sequences.
std::string PercentDecode(std::string_view text);

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_CALL_H_
