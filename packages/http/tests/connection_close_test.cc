#include <sys/resource.h>

#include <dirent.h>
#include <cstdio>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "vanillalever/http/server.h"

namespace vanillalever::http {
namespace {

using boost::asio::ip::tcp;

constexpr char kGet[] = "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr char kGetHeld[] = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t kLargeBytes = 24 << 20;
constexpr char kGetLarge[] = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr char kGetStream[] = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";

// Server whose /held and /stream requests wait until they are released.
class ClosingServer {
 public:
  explicit ClosingServer(const ServerSettings& settings = {}) {
    router_.Add("GET", "/quick",
                [](const auto& exchange) { exchange->Send(Body("quick")); });
    router_.Add("GET", "/large", [](const auto& exchange) {
      exchange->Send(Body(std::string(kLargeBytes, 'x')));
    });
    router_.Add("GET", "/held",
                [this](const auto& exchange) { Add(exchange); });
    router_.Add("GET", "/stream", [this](const auto& exchange) {
      exchange->StartEvents();
      exchange->SendEvent("token", "1");
      Add(exchange);
    });
    server_ = std::make_unique<Server>(threads_, settings, router_);
  }
  ~ClosingServer() { Release(); }

  static Response Body(std::string text) {
    Response response;
    response.body = std::move(text);
    return response;
  }

  Server& server() { return *server_; }

  void WaitForHeld(std::size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return held_.size() >= count; });
  }

  void Release() {
    std::vector<std::shared_ptr<Exchange>> held;
    {
      std::lock_guard lock(mutex_);
      held.swap(held_);
    }
    for (const auto& exchange : held) {
      if (exchange->streaming())
        exchange->Finish();
      else
        exchange->Send(Body(std::string(1 << 20, 'x') + "released"));
    }
  }

 private:
  void Add(const std::shared_ptr<Exchange>& exchange) {
    std::lock_guard lock(mutex_);
    held_.push_back(exchange);
    changed_.notify_all();
  }

  IoThreads threads_{2};
  Router router_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<Exchange>> held_;
  std::unique_ptr<Server> server_;
};

// Client connection that shows how the server ends it.
class RawConnection {
 public:
  explicit RawConnection(std::uint16_t port) : socket_(context_) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket_.set_option(tcp::no_delay(true));
  }

  void Write(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes), error_);
  }
  void ShutdownSend() { socket_.shutdown(tcp::socket::shutdown_send, error_); }

  // Reads until `text` was received; returns all data up to its end.
  std::string ReadUntil(const std::string& text) {
    std::size_t length = boost::asio::read_until(
        socket_, boost::asio::dynamic_buffer(input_), text, error_);
    std::string data = input_.substr(0, length);
    input_.erase(0, length);
    return data;
  }

  // Reads until the server closes the connection. A reset leaves error().
  std::string ReadToEnd() {
    boost::asio::read(socket_, boost::asio::dynamic_buffer(input_), error_);
    if (error_ == boost::asio::error::eof)
      error_ = {};
    return std::exchange(input_, "");
  }

  // Error of the last operation.
  boost::system::error_code error() const { return error_; }

 private:
  boost::asio::io_context context_;
  tcp::socket socket_;
  std::string input_;
  boost::system::error_code error_;
};

int CountResponses(const std::string& text) {
  int count = 0;
  for (std::size_t at = 0;
       (at = text.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
    ++count;
  return count;
}

// Guards against a handler exception on an I/O thread that ends the process
// with all its requests.
TEST_CASE("a task that throws does not stop the I/O threads") {
  IoThreads threads(1);
  std::atomic<bool> ran = false;
  boost::asio::post(threads.context(),
                    [] { throw std::runtime_error("task"); });
  boost::asio::post(threads.context(), [&ran] { ran = true; });
  for (int i = 0; i < 200 && !ran; ++i)
    std::this_thread::sleep_for(base::milliseconds(10));
  CHECK(ran);
}

}  // namespace
}  // namespace vanillalever::http
