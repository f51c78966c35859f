// Guards against clients that use up the memory of a server together: bodies
// that stop short, and responses that are not read.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "vanillalever/http/server.h"

namespace vanillalever::http {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kKb = 1 << 10;

class SmallServer {
 public:
  SmallServer() {
    router_.Add("POST", "/size", [](const auto& exchange) {
      Response response;
      response.body = std::to_string(exchange->request().body.size());
      exchange->Send(std::move(response));
    });
    router_.Add("GET", "/large", [](const auto& exchange) {
      Response response;
      response.body = std::string(4 << 20, 'x');
      exchange->Send(std::move(response));
    });
    ServerSettings settings;
    settings.memory.total_bytes = 4 << 20;
    settings.request_timeout = base::seconds(2);
    settings.memory.patience = base::milliseconds(200);
    server_ = std::make_unique<Server>(threads_, settings, router_);
  }

  std::uint16_t port() const { return server_->port(); }

 private:
  IoThreads threads_{2};
  Router router_;
  std::unique_ptr<Server> server_;
};

class Client {
 public:
  explicit Client(const SmallServer& server) : socket_(context_) {
    socket_.connect({boost::asio::ip::address_v4::loopback(), server.port()});
  }

  // Sends the head of a body of `size` bytes, and `sent` bytes of the body.
  Client& Post(std::size_t size, std::size_t sent) {
    std::string text = "POST /size HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                       std::to_string(size) + "\r\n\r\n" +
                       std::string(sent, 'x');
    boost::asio::write(socket_, boost::asio::buffer(text));
    return *this;
  }
  Client& GetLarge() {
    const std::string text = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::write(socket_, boost::asio::buffer(text));
    return *this;
  }
  // Status of the next response; 0 if there is none.
  int Status() {
    std::string head;
    boost::system::error_code error;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(head),
                            "\r\n\r\n", error);
    return head.size() > 12 ? std::stoi(head.substr(9, 3)) : 0;
  }
  // Whether everything up to the end of the connection arrives whole.
  bool ReadLarge() {
    std::string head;
    boost::system::error_code error;
    std::size_t size = boost::asio::read_until(
        socket_, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
    if (error)
      return false;
    std::string rest((4 << 20) - (head.size() - size), ' ');
    boost::asio::read(socket_, boost::asio::buffer(rest), error);
    return !error;
  }

 private:
  boost::asio::io_context context_;
  tcp::socket socket_;
};

TEST_CASE("bodies that stop short make room for other clients") {
  SmallServer server;
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 16; ++i) {
    crowd.push_back(std::make_unique<Client>(server));
    crowd.back()->Post(1000 * kKb, 900 * kKb);
  }
  CHECK(Client(server).Post(5 * kKb, 5 * kKb).Status() == 200);
  // The first of the crowd have held their bytes for the longest time.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(Client(server).Post(5 * kKb, 5 * kKb).Status() == 200);
  int refused = 0;
  for (auto& client : crowd) {
    int status = client->Status();
    // The others end at the time limit of a request.
    CHECK((status == 503 || status == 408));
    refused += status == 503;
  }
  CHECK(refused > 0);
  CHECK(Client(server).Post(1800 * kKb, 1800 * kKb).Status() == 200);
}

TEST_CASE("responses that are not read make room for those that are") {
  SmallServer server;
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 8; ++i) {
    crowd.push_back(std::make_unique<Client>(server));
    crowd.back()->GetLarge();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(Client(server).Post(5 * kKb, 5 * kKb).Status() == 200);
  int cut = 0;
  for (auto& client : crowd)
    cut += !client->ReadLarge();
  CHECK(cut > 0);
}

}  // namespace
}  // namespace vanillalever::http
