#include <memory>
#include <string>
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

// Counts its connections. Does not respond to requests for "/silent".
class CountingServer {
 public:
  CountingServer()
      : listener_([this](Socket socket) {
          Serve(std::make_shared<Session>(std::move(socket)));
        }) {}

  ClientRequest Make(std::string target) const {
    ClientRequest request;
    request.address = listener_.address();
    request.target = std::move(target);
    request.timeout = base::milliseconds(100);
    return request;
  }
  int connections() const { return listener_.connections(); }

 private:
  using Socket = LoopbackListener::Socket;

  struct Session {
    explicit Session(Socket accepted) : socket(std::move(accepted)) {}
    Socket socket;
    std::string input;
  };

  void Serve(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->input),
        "\r\n\r\n",
        [this, session](boost::system::error_code error, std::size_t size) {
          if (error)
            return;
          bool silent = session->input.starts_with("GET /silent ");
          session->input.erase(0, size);
          const std::string response =
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
          if (!silent)
            boost::asio::write(session->socket, boost::asio::buffer(response));
          Serve(session);
        });
  }

  LoopbackListener listener_;
};

// Guards against calls that time out one after the other on connections that
// went silent together.
TEST_CASE("a response that does not arrive closes the idle connections") {
  CountingServer server;
  BlockingClient client;
  REQUIRE_FALSE(client.Send(server.Make("/a")).error);
  REQUIRE_FALSE(client.Send(server.Make("/a")).error);
  REQUIRE(server.connections() == 1);
  ClientRequest silent = server.Make("/silent");
  silent.new_connection = true;
  CHECK(client.Send(silent).error);
  CHECK_FALSE(client.Send(server.Make("/a")).error);
  CHECK(server.connections() == 3);
}

// Guards against review/13: a request that was carried out before its
// connection ended, and counts as rejected since its second copy was.
TEST_CASE("a request that was sent twice says so") {
  int requests = 0;
  ScriptedServer server([&requests](const std::string&) {
    if (++requests == 2)
      return ScriptedServer::Script{{.delay = {}, .bytes = "", .close = true}};
    return ScriptedServer::Script{
        {.delay = {}, .bytes = ResponseText("503 X", "")}};
  });
  BlockingClient client;
  ClientRequest request;
  request.address = server.address();
  request.method = "POST";
  request.body = "x";
  CHECK_FALSE(client.Send(request).sent_twice);
  ClientResult result = client.Send(request);
  CHECK(result.status == 503);
  CHECK(result.sent_twice);
  CHECK(requests == 3);
  request.new_connection = true;
  CHECK_FALSE(client.Send(request).sent_twice);
}

// Guards against connections that are kept for good.
TEST_CASE("a connection beyond its age is not used again") {
  CountingServer server;
  ClientSettings settings;
  settings.max_connection_age = base::milliseconds(50);
  BlockingClient client(settings);
  REQUIRE_FALSE(client.Send(server.Make("/a")).error);
  std::this_thread::sleep_for(base::milliseconds(80));
  CHECK_FALSE(client.Send(server.Make("/a")).error);
  CHECK(server.connections() == 2);
}

}  // namespace
}  // namespace vanillalever::http
