#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "vanillalever/http/blocking_client.h"

namespace vanillalever::http {
namespace {

using boost::asio::ip::tcp;

// Counts its connections. Does not respond to requests for "/silent".
class CountingServer {
 public:
  CountingServer()
      : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~CountingServer() {
    context_.stop();
    thread_.join();
  }

  ClientRequest Make(std::string target) const {
    ClientRequest request;
    request.address =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    request.target = std::move(target);
    request.timeout = base::milliseconds(100);
    return request;
  }
  int connections() const { return connections_; }

 private:
  struct Session {
    explicit Session(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string input;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error)
            return;
          ++connections_;
          Serve(std::make_shared<Session>(std::move(socket)));
          Accept();
        });
  }

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

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<int> connections_{0};
  std::thread thread_;
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
