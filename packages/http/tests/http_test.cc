#include <utility>

#include <atomic>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/http/blocking_client.h"
#include "vanillalever/http/event_parser.h"
#include "vanillalever/http/json_body.h"
#include "vanillalever/http/server.h"

namespace vanillalever::http {
namespace {

struct TestServer {
  explicit TestServer(const ServerSettings& settings = {}) {
    router.Add("POST", "/echo/{name}", [](const auto& exchange) {
      Response response;
      response.body = exchange->request().parameters.at("name") + ":" +
                      exchange->request().body;
      exchange->Send(std::move(response));
    });
    router.Add("GET", "/events", [](const auto& exchange) {
      exchange->StartEvents();
      for (int i = 0; i < 3; ++i)
        exchange->SendEvent("token", std::to_string(i));
      exchange->Finish();
    });
    router.Add("GET", "/dropped", [](const auto&) {});
    router.Add("GET", "/slow", [](const auto& exchange) {
      std::thread([exchange] {
        std::this_thread::sleep_for(base::milliseconds(200));
        exchange->Send({});
      }).detach();
    });
    server = std::make_unique<Server>(threads, settings, router);
  }

  ClientRequest Make(std::string method,
                     std::string target,
                     std::string body = "") const {
    ClientRequest request;
    request.address = server->address();
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
  }

  // Sends raw bytes, shuts down the sending side if `half_close` is set, and
  // returns everything received.
  std::string SendRaw(const std::string& bytes, bool half_close) const {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), server->port()});
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    if (half_close)
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    std::string response;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
    return response;
  }

  IoThreads threads{2};
  Router router;
  std::unique_ptr<Server> server;
  BlockingClient client;
};

// Guards against a response that belongs to another request.
TEST_CASE("requests on keep-alive connections get their own responses") {
  TestServer test;
  for (int i = 0; i < 20; ++i) {
    std::string body = "body" + std::to_string(i);
    auto result = test.client.Send(test.Make("POST", "/echo/a", body));
    REQUIRE_FALSE(result.error);
    CHECK(result.body == "a:" + body);
  }
}

// Guards against streamed responses that arrive incomplete.
TEST_CASE("server-sent events arrive in order") {
  TestServer test;
  std::string seen;
  EventParser parser(
      [&seen](const Event& event) { seen += event.name + event.data + ";"; });
  auto result =
      test.client.Send(test.Make("GET", "/events"),
                       [&parser](std::string_view data) { parser.Feed(data); });
  CHECK(result.status == 200);
  CHECK(seen == "token0;token1;token2;");
}

// Guards against requests without a response when a handler drops its Exchange.
TEST_CASE("a dropped request gets an error response") {
  TestServer test;
  auto result = test.client.Send(test.Make("GET", "/dropped"));
  CHECK(result.status == 500);
  auto info = ParseErrorBody(result.body, base::ErrorCode::kConflict);
  CHECK(info.code == base::ErrorCode::kInternal);
  // Guards against treating a malformed error body as proof of "not run".
  CHECK(ParseErrorBody("", base::ErrorCode::kConflict).ran ==
        base::ExecutionStatus::kUnknown);
}

// Guards against invalid input that blocks a connection or gets an unspecific
// error.
TEST_CASE("invalid input gets a specific status") {
  ServerSettings settings;
  settings.max_body_bytes = 1000;
  settings.request_timeout = base::milliseconds(100);
  TestServer test(settings);
  CHECK(test.client.Send(test.Make("GET", "/none")).status == 404);
  CHECK(test.client.Send(test.Make("GET", "/echo/a")).status == 400);
  std::string large(2000, 'x');
  CHECK(test.client.Send(test.Make("POST", "/echo/a", large)).status == 413);
  std::string head = "POST /echo/a HTTP/1.1\r\nHost: a\r\n";
  CHECK(test.SendRaw("no http\r\n\r\n", false).starts_with("HTTP/1.1 400"));
  CHECK(test.SendRaw(head + "X: " + std::string(20000, 'x') + "\r\n\r\n", false)
            .starts_with("HTTP/1.1 431"));
  std::string partial = head + "Content-Length: 10\r\n\r\nabc";
  CHECK(test.SendRaw(partial, true).starts_with("HTTP/1.1 400"));
  CHECK(test.SendRaw(partial, false).starts_with("HTTP/1.1 408"));
  CHECK(test.client.Send(test.Make("POST", "/echo/a", "b")).body == "a:b");
}

// Guards against an error that reports "not run" after bytes were sent.
TEST_CASE("client errors report whether the request was sent") {
  TestServer test;
  ClientRequest request = test.Make("GET", "/slow");
  request.timeout = base::milliseconds(50);
  auto late = test.client.Send(request);
  REQUIRE(late.error);
  CHECK(late.error->code == base::ErrorCode::kTimeout);
  CHECK(late.error->ran == base::ExecutionStatus::kUnknown);
  request.address = "127.0.0.1:1";
  auto refused = test.client.Send(request);
  REQUIRE(refused.error);
  CHECK(refused.error->ran == base::ExecutionStatus::kNotRun);
  test.server->StopAccepting();
  CHECK(test.server->WaitUntilIdle(base::seconds(2)));
}

// Guards against a graceful shutdown that aborts a request in flight.
TEST_CASE("a stopping server finishes its requests") {
  TestServer test;
  ClientResult result;
  std::thread caller(
      [&] { result = test.client.Send(test.Make("GET", "/slow")); });
  while (test.server->requests_in_flight() == 0)
    std::this_thread::yield();
  test.server->StopAccepting();
  CHECK(test.server->WaitUntilIdle(base::seconds(2)));
  caller.join();
  CHECK(result.status == 200);
}

// Guards against malformed input that crashes the server or affects other
// callers.
TEST_CASE("mutated requests get a response or a closed connection") {
  ServerSettings settings;
  settings.request_timeout = base::milliseconds(50);
  TestServer test(settings);
  const std::string valid =
      "POST /echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n"
      "{\"turn\": 1}\r\n";
  base::Random random(11);
  for (int round = 0; round < 200; ++round) {
    INFO("seed 11, round " << round);
    std::string bytes = valid;
    for (std::uint64_t i = 0; i <= random.Below(6); ++i)
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    bytes.resize(bytes.size() - random.Below(20));
    std::string response = test.SendRaw(bytes, true);
    CHECK((response.empty() || response.starts_with("HTTP/1.1 ")));
  }
  CHECK(test.client.Send(test.Make("POST", "/echo/a", "b")).body == "a:b");
}

// Guards against stack overflow by deeply nested input.
TEST_CASE("deeply nested JSON is rejected") {
  std::string deep = "{\"a\":" + std::string(100000, '[');
  CHECK_THROWS_AS(ParseJsonObject(deep), base::Error);
  CHECK_THROWS_AS(ParseJsonObject("[1]"), base::Error);
  CHECK(ParseJsonObject("{\"a\":1}")["a"] == 1);
}

}  // namespace
}  // namespace vanillalever::http
