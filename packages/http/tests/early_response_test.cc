#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "loopback_listener.h"
#include "scripted_server.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::http {
namespace {

// Larger than what the buffers of a connection hold.
constexpr std::size_t kUploadBytes = 8 << 20;
// Time limit of a request, and a bound for what must not wait for it.
constexpr base::seconds kTimeout{10};
constexpr base::seconds kAtOnce{5};

// Bytes of a response that begin with a sound status line.
std::string Ok(const std::string& rest) {
  return "HTTP/1.1 200 OK\r\n" + rest;
}

// What a server does after its response.
enum class End { kReset, kClose, kCloseAndReset, kNone };

struct EarlyResponse {
  std::string bytes;
  End end = End::kReset;
  // Until the end, and between its steps.
  base::milliseconds delay{0};
};

// Server that responds when it has read the head of a POST, and reads no more.
// It responds to a GET with its target and keeps the connection.
class EarlyServer {
 public:
  explicit EarlyServer(EarlyResponse response)
      : response_(std::move(response)), listener_([this](Socket socket) {
          Read(std::make_shared<Socket>(std::move(socket)),
               std::make_shared<std::string>());
        }) {}

  ClientRequest Get() const {
    ClientRequest request;
    request.address = listener_.address();
    request.target = "/next";
    request.timeout = kTimeout;
    return request;
  }
  ClientRequest Upload() const {
    ClientRequest request = Get();
    request.method = "POST";
    request.body.assign(kUploadBytes, 'u');
    return request;
  }
  int connections() const { return listener_.connections(); }

 private:
  using Socket = LoopbackListener::Socket;
  using SocketPtr = std::shared_ptr<Socket>;

  void Read(const SocketPtr& socket,
            const std::shared_ptr<std::string>& input) {
    boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
        [this, socket, input](boost::system::error_code error,
                              std::size_t size) {
          if (error)
            return;
          bool upload = input->starts_with("POST");
          input->erase(0, size);
          if (upload)
            return Respond(socket);
          boost::asio::write(
              *socket, boost::asio::buffer(ResponseText("200 OK", "/next")),
              error);
          Read(socket, input);
        });
  }

  void Respond(const SocketPtr& socket) {
    boost::system::error_code ignored;
    boost::asio::write(*socket, boost::asio::buffer(response_.bytes), ignored);
    std::this_thread::sleep_for(response_.delay);
    if (response_.end == End::kClose || response_.end == End::kCloseAndReset)
      socket->shutdown(Socket::shutdown_send, ignored);
    if (response_.end == End::kNone || response_.end == End::kClose)
      return KeepOpen(socket);
    if (response_.end == End::kCloseAndReset)
      std::this_thread::sleep_for(response_.delay);
    socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }

  // Until the client ends the connection.
  static void KeepOpen(const SocketPtr& socket) {
    socket->async_wait(Socket::wait_error,
                       [socket](boost::system::error_code) {});
  }

  const EarlyResponse response_;
  LoopbackListener listener_;
};

// A reset comes at once, or while the client waits for room in the connection.
constexpr base::milliseconds kDelays[] = {base::milliseconds(0),
                                          base::milliseconds(100)};

// Guards against a part of a response that is taken for all of it: the reset is
// reported to the write that is still in progress, and the next read reports an
// end of data.
TEST_CASE("a response that is reset while the request is written is an error") {
  const std::string parts[] = {
      Ok("\r\n"),
      Ok("\r\nleak"),
      Ok("\r\n") + std::string(30000, 'x'),
      "HTTP/1.1 500 X\r\n\r\nleak",
      Ok("Content-Length: 900000\r\n\r\nleak"),
      Ok("Transfer-Encoding: chunked\r\n\r\n4\r\nleak\r\n"),
      Ok("Leak: ")};
  for (const std::string& part : parts) {
    for (base::milliseconds delay : kDelays) {
      for (bool kept : {false, true}) {
        INFO(part.substr(0, 60) << " after " << delay.count() << " ms"
                                << (kept ? " on a kept connection" : ""));
        EarlyServer server({part, End::kReset, delay});
        BlockingClient client;
        if (kept)
          REQUIRE(client.Send(server.Get()).body == "/next");
        auto started = base::TimePoint::clock::now();
        ClientResult result = client.Send(server.Upload());
        CHECK(result.error);
        CHECK(result.status == 0);
        CHECK(result.body.empty());
        result = client.Send(server.Upload(), [](std::string_view) {});
        CHECK(result.error);
        CHECK(base::TimePoint::clock::now() - started < kAtOnce);
        int connections = server.connections();
        CHECK(client.Send(server.Get()).body == "/next");
        CHECK(server.connections() == connections + 1);
      }
    }
  }
}

// Guards against losing a whole response because the rest of the request cannot
// be written.
TEST_CASE("a whole response to a part of the request is read") {
  const EarlyResponse responses[] = {
      {ResponseText("200 OK", "body"), End::kReset},
      {ResponseText("200 OK", "body"), End::kCloseAndReset},
      {Ok("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
       End::kReset},
      {Ok("\r\nbody"), End::kCloseAndReset}};
  for (EarlyResponse response : responses) {
    for (base::milliseconds delay : kDelays) {
      response.delay = delay;
      INFO(response.bytes << " after " << delay.count() << " ms");
      EarlyServer server(response);
      BlockingClient client;
      ClientResult result = client.Send(server.Upload());
      CHECK_FALSE(result.error);
      CHECK(result.status == 200);
      CHECK(result.body == "body");
      CHECK(client.Send(server.Get()).body == "/next");
      CHECK(server.connections() == 2);
    }
  }
}

// Guards against waiting for room in the connection, up to the time limit, for
// a request to which the server has responded and which it does not read.
TEST_CASE("a response is read while the request is written") {
  // The kernel gives up a connection without room later.
  constexpr base::milliseconds kShortTimeout{1900};
  struct Form {
    EarlyResponse response;
    // The body of a response that can be used.
    std::string body;
  };
  const Form forms[] = {
      {{ResponseText("200 OK", "body"), End::kNone}, "body"},
      {{ResponseText("413 X", "body"), End::kNone}, "body"},
      {{Ok("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        End::kNone},
       "body"},
      {{Ok("\r\nbody"), End::kClose}, "body"},
      {{ResponseText("000 X", "leak"), End::kNone}, ""},
      {{ResponseText("200 OK", "leak", "Leak Field: x\r\n"), End::kNone}, ""},
      {{Ok("Content-Length: 900\r\n\r\nleak"), End::kClose}, ""},
      {{"", End::kClose}, ""}};
  for (const auto& [response, body] : forms) {
    for (bool kept : {false, true}) {
      INFO(response.bytes << (kept ? " on a kept connection" : ""));
      EarlyServer server(response);
      BlockingClient client;
      if (kept)
        REQUIRE(client.Send(server.Get()).body == "/next");
      ClientRequest upload = server.Upload();
      upload.timeout = kShortTimeout;
      ClientResult result = client.Send(std::move(upload));
      CHECK(result.body == body);
      CHECK(result.error.has_value() == body.empty());
      if (result.error)
        CHECK(result.error->code == base::ErrorCode::kUnavailable);
      int connections = server.connections();
      CHECK(client.Send(server.Get()).body == "/next");
      CHECK(server.connections() == connections + 1);
    }
  }
}

}  // namespace
}  // namespace vanillalever::http
