#include <sys/resource.h>

#include <unistd.h>

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

// Guards against a reset by unread input, which takes the response away.
TEST_CASE("a closing connection delivers its response") {
  ClosingServer test;
  RawConnection client(test.server().port());
  client.Write(kGetHeld);
  test.WaitForHeld(1);
  // Input that the server has not read when it closes.
  client.Write(kGet);
  test.server().StopAccepting();
  test.Release();
  std::this_thread::sleep_for(base::milliseconds(100));
  std::string text = client.ReadToEnd();
  CHECK_FALSE(client.error());
  CHECK(text.find("released") != std::string::npos);
  CHECK(text.find("Connection: close") != std::string::npos);
}

// Guards against a kept connection that is closed although its response
// promised to serve the next request.
TEST_CASE("a request on a kept connection is answered while the server stops") {
  ClosingServer test;
  RawConnection idle(test.server().port());
  idle.Write(kGet);
  CHECK(idle.ReadUntil("quick").find("Connection: close") == std::string::npos);
  RawConnection streaming(test.server().port());
  streaming.Write(kGetStream);
  test.WaitForHeld(1);
  CHECK(streaming.ReadUntil("data: 1\n\n").find("Connection: close") ==
        std::string::npos);
  test.server().StopAccepting();
  idle.Write(kGet);
  std::string text = idle.ReadToEnd();
  CHECK_FALSE(idle.error());
  CHECK(text.find("quick") != std::string::npos);
  CHECK(text.find("Connection: close") != std::string::npos);
  test.Release();
  CHECK(streaming.ReadUntil("0\r\n\r\n").find("0\r\n\r\n") !=
        std::string::npos);
  streaming.Write(kGet);
  text = streaming.ReadToEnd();
  CHECK_FALSE(streaming.error());
  CHECK(text.find("quick") != std::string::npos);
}

// Guards against connections that are reset because they waited in the accept
// queue when the server stopped.
TEST_CASE("connections that are open when the server stops are served") {
  for (int round = 0; round < 20; ++round) {
    ClosingServer test;
    std::vector<std::unique_ptr<RawConnection>> clients;
    for (int i = 0; i < 50; ++i) {
      clients.push_back(std::make_unique<RawConnection>(test.server().port()));
      clients.back()->Write(kGet);
    }
    test.server().StopAccepting();
    int answered = 0;
    for (const auto& client : clients)
      answered += client->ReadUntil("quick").empty() ? 0 : 1;
    REQUIRE(answered == 50);
  }
}

// Guards against a stop that leaves idle connections open or waits for them
// without a limit.
TEST_CASE("a stopping server closes idle connections") {
  ClosingServer test;
  RawConnection client(test.server().port());
  client.Write(kGet);
  client.ReadUntil("quick");
  test.server().StopAccepting();
  CHECK(test.server().WaitUntilIdle(base::seconds(10)));
  CHECK(client.ReadToEnd().empty());
  CHECK_FALSE(client.error());
}

// Guards against requests that are cut without a response at the end of a stop.
TEST_CASE("aborted requests get a complete response") {
  ClosingServer test;
  RawConnection held(test.server().port());
  RawConnection streaming(test.server().port());
  RawConnection idle(test.server().port());
  idle.Write(kGet);
  idle.ReadUntil("quick");
  held.Write(kGetHeld);
  streaming.Write(kGetStream);
  test.WaitForHeld(2);
  test.server().StopAccepting();
  base::ErrorInfo error;
  error.code = base::ErrorCode::kUnavailable;
  error.message = "stopped";
  error.ran = base::ExecutionStatus::kUnknown;
  test.server().AbortRequests(error);
  idle.Write(kGet);
  std::string text = held.ReadToEnd();
  CHECK_FALSE(held.error());
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("\"ran\":\"unknown\"") != std::string::npos);
  text = streaming.ReadUntil("0\r\n\r\n");
  CHECK_FALSE(streaming.error());
  CHECK(text.find("event: error\ndata: {\"error\":{\"code\":\"unavailable\"") !=
        std::string::npos);
  text = idle.ReadToEnd();
  CHECK_FALSE(idle.error());
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("\"ran\":\"not_run\"") != std::string::npos);
  CHECK(test.server().WaitUntilIdle(base::seconds(5)));
  test.Release();
}

// Guards against a connection beyond the limit that is closed without a word.
TEST_CASE("a connection beyond the limit gets 503 as not run") {
  ServerSettings settings;
  settings.max_connections = 1;
  ClosingServer test(settings);
  RawConnection first(test.server().port());
  first.Write(kGet);
  first.ReadUntil("quick");
  RawConnection second(test.server().port());
  second.Write(kGet);
  std::string text = second.ReadToEnd();
  CHECK_FALSE(second.error());
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("\"ran\":\"not_run\"") != std::string::npos);
  CHECK(text.find("Retry-After: ") != std::string::npos);
  CHECK(CountResponses(text) == 1);
  first.Write(kGet);
  CHECK_FALSE(first.ReadUntil("quick").empty());
}

// Guards against a server that gives up or uses a whole core while no file
// descriptor is free.
TEST_CASE("accept errors are retried after a delay") {
  ClosingServer test;
  boost::asio::io_context context;
  tcp::socket socket(context, tcp::v4());
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  int free_descriptor = dup(0);
  close(free_descriptor);
  rlimit lowered = limit;
  lowered.rlim_cur = static_cast<rlim_t>(free_descriptor);
  setrlimit(RLIMIT_NOFILE, &lowered);
  socket.connect(
      {boost::asio::ip::make_address("127.0.0.1"), test.server().port()});
  auto cpu_time = [] {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return base::milliseconds(
        (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000 +
        (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000);
  };
  auto before = cpu_time();
  std::this_thread::sleep_for(base::milliseconds(1000));
  auto used = cpu_time() - before;
  setrlimit(RLIMIT_NOFILE, &limit);
  CHECK(used < base::milliseconds(200));
  boost::asio::write(socket, boost::asio::buffer(std::string(kGet)));
  std::string text;
  boost::system::error_code error;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "quick",
                          error);
  CHECK_FALSE(error);
}

// Guards against a response that is withheld from a client that has shut down
// its sending side.
TEST_CASE("a client that half-closes gets its response") {
  ClosingServer test;
  RawConnection client(test.server().port());
  client.Write(kGetHeld);
  client.ShutdownSend();
  test.WaitForHeld(1);
  std::this_thread::sleep_for(base::milliseconds(50));
  test.Release();
  std::string text = client.ReadToEnd();
  CHECK_FALSE(client.error());
  CHECK(text.find("released") != std::string::npos);
}

// Guards against a limit that cuts the response of a client that reads slowly
// but steadily.
TEST_CASE("a large response reaches a slow reader") {
  ServerSettings settings;
  settings.write_timeout = base::seconds(1);
  ClosingServer test(settings);
  boost::asio::io_context context;
  tcp::socket socket(context, tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(256 << 10));
  socket.connect(
      {boost::asio::ip::make_address("127.0.0.1"), test.server().port()});
  boost::asio::write(socket, boost::asio::buffer(std::string(kGetLarge)));
  std::size_t received = 0;
  std::vector<char> piece(64 << 10);
  boost::system::error_code error;
  while (received < kLargeBytes && !error) {
    received += socket.read_some(boost::asio::buffer(piece), error);
    std::this_thread::sleep_for(base::milliseconds(8));
  }
  CHECK_FALSE(error);
  CHECK(received >= kLargeBytes);
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

// Guards against an input timeout that strikes a request which has just become
// complete.
TEST_CASE("a request that arrives at its time limit is answered") {
  ServerSettings settings;
  settings.request_timeout = base::milliseconds(2);
  ClosingServer test(settings);
  const std::string request(kGet);
  for (int round = 0; round < 300; ++round) {
    RawConnection client(test.server().port());
    client.Write(request.substr(0, 10));
    auto end = std::chrono::steady_clock::now() +
               std::chrono::microseconds(1800 + 2 * round);
    while (std::chrono::steady_clock::now() < end) {
    }
    client.Write(request.substr(10));
    client.ShutdownSend();
    std::string text = client.ReadToEnd();
    bool complete = text.find("quick") != std::string::npos ||
                    text.starts_with("HTTP/1.1 408");
    INFO("round " << round << ": " << client.error().message());
    REQUIRE(complete);
  }
}

}  // namespace
}  // namespace vanillalever::http
