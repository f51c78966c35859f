#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "loopback_listener.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::http {
namespace {

// Where it would stop by itself: far above every bound that is checked.
constexpr std::size_t kMostBytes = 512 << 20;

// Responds to the first request of each connection with `head`, then with
// `piece` until the client closes it; with an empty one it closes itself.
// Counts what the client has taken.
class EndlessServer {
 public:
  EndlessServer(std::string head, std::string piece)
      : head_(std::move(head)),
        piece_(std::move(piece)),
        listener_([this](Socket socket) {
          Serve(std::make_shared<Socket>(std::move(socket)));
        }) {}

  ClientRequest Make() const {
    ClientRequest request;
    request.address = listener_.address();
    request.timeout = base::seconds(3);
    return request;
  }
  std::size_t sent() const { return sent_; }

 private:
  using Socket = LoopbackListener::Socket;

  void Serve(const std::shared_ptr<Socket>& socket) {
    auto input = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
        [this, socket, input](boost::system::error_code error, std::size_t) {
          if (!error)
            Send(socket, head_);
        });
  }

  void Send(const std::shared_ptr<Socket>& socket, const std::string& text) {
    boost::asio::async_write(
        *socket, boost::asio::buffer(text),
        [this, socket](boost::system::error_code error, std::size_t size) {
          sent_ += size;
          if (!error && !piece_.empty() && sent_ < kMostBytes)
            Send(socket, piece_);
        });
  }

  const std::string head_;
  const std::string piece_;
  std::atomic<std::size_t> sent_{0};
  LoopbackListener listener_;
};

// Pieces of responses.
std::string Filler() {
  return std::string(8192, 'x');
}
std::string ChunkedHead() {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
}
std::string Chunk() {
  return "2000\r\n" + Filler() + "\r\n";
}
// What the kernel may hold between the two.
constexpr std::size_t kSocketBuffers = 16 << 20;

// Guards against a server that sends bytes which are no response, without end:
// the caller kept them all until its time limit.
TEST_CASE("bytes that are no response are not kept") {
  struct Form {
    const char* name;
    std::string head;
    std::string piece;
  };
  const Form forms[] = {
      {"head", "HTTP/1.1 200 OK\r\nX: ", Filler()},
      {"status line", "HTTP/1.1 200 ", Filler()},
      {"chunk header", ChunkedHead() + "1;x=", Filler()},
      {"trailer", ChunkedHead() + "0\r\nX: ", Filler()},
      {"no response", "", Filler()},
  };
  for (const Form& form : forms) {
    INFO(form.name);
    EndlessServer server(form.head, form.piece);
    BlockingClient client;
    ClientResult result = client.Send(server.Make());
    REQUIRE(result.error);
    CHECK(result.error->ran == base::ExecutionStatus::kUnknown);
    CHECK(server.sent() < kSocketBuffers);
  }
}

// Guards against many bodies, each below its limit, that use up memory
// together.
TEST_CASE("the bodies of all responses in progress are bounded together") {
  EndlessServer server(ChunkedHead(), Chunk());
  ClientSettings settings;
  settings.max_total_bytes = 4 << 20;
  BlockingClient client(settings);
  constexpr int kCallers = 8;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::atomic<int> failed = 0;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      ClientResult result = client.Send(server.Make());
      failed += result.error ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  CHECK(failed == kCallers);
  CHECK(server.sent() < kCallers * kSocketBuffers + settings.max_total_bytes);
  // Streamed bodies count too: their receiver keeps them.
  std::size_t received = 0;
  ClientResult streamed = client.Send(
      server.Make(),
      [&received](std::string_view data) { received += data.size(); });
  CHECK(streamed.error);
  CHECK(received <= settings.max_total_bytes);
}

// Guards against a budget that is not returned.
TEST_CASE("a large response is read after others were given up") {
  EndlessServer endless(ChunkedHead(), Chunk());
  std::string body(3 << 20, 'y');
  EndlessServer sound(
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body,
      "");
  ClientSettings settings;
  settings.max_total_bytes = 4 << 20;
  BlockingClient client(settings);
  for (int i = 0; i < 3; ++i) {
    CHECK(client.Send(endless.Make()).error);
    ClientResult result = client.Send(sound.Make());
    CHECK_FALSE(result.error);
    CHECK(result.body.size() == body.size());
  }
}

}  // namespace
}  // namespace vanillalever::http
