#include <functional>
#include <future>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "scripted_server.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::http {
namespace {

using base::milliseconds;

constexpr milliseconds kTimeout{300};
constexpr milliseconds kStall{400};
constexpr milliseconds kTotal{3000};
constexpr milliseconds kBehindSlow{1500};
constexpr int kParts = 8;

std::string Head(std::size_t bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
         "\r\n\r\n";
}

// A response of `parts` parts, one each `interval`, of which `sent` are sent.
ScriptedServer::Script Slowly(std::size_t part_bytes,
                              int parts,
                              int sent,
                              milliseconds interval) {
  ScriptedServer::Script script;
  script.push_back(
      {milliseconds(0), Head(part_bytes * static_cast<std::size_t>(parts))});
  for (int i = 1; i <= sent; ++i)
    script.push_back({i * interval, std::string(part_bytes, 'x')});
  return script;
}

ClientRequest Get(const ScriptedServer& server, const std::string& target) {
  ClientRequest request;
  request.address = server.address();
  request.target = target;
  request.timeout = kTimeout;
  request.patience = {
      .stall = kStall, .total = kTotal, .behind_slow = kBehindSlow};
  return request;
}

base::Duration TimeOf(const std::function<void()>& action) {
  auto started = base::TimePoint::clock::now();
  action();
  return base::TimePoint::clock::now() - started;
}

// Guards against review/11: a row whose size the operator decides takes longer
// than a fixed time on a narrow link, and is cut each time.
TEST_CASE("a response is not cut while it arrives") {
  ScriptedServer server([](const std::string&) {
    return Slowly(1000, kParts, kParts, milliseconds(200));
  });
  BlockingClient client;
  ClientResult result = client.Send(Get(server, "/"));
  REQUIRE_FALSE(result.error);
  CHECK(result.body.size() == 8000);
  // Without patience the timeout is the limit.
  ClientRequest impatient = Get(server, "/");
  impatient.patience.reset();
  CHECK(client.Send(impatient).error);
}

// Guards against calls that wait for a server which has stopped in the middle
// of a response, or sends a byte now and then without end.
TEST_CASE("a response that stops or trickles ends the call") {
  ScriptedServer server([](const std::string& target) {
    if (target == "/stops")
      return Slowly(1000, kParts, 3, milliseconds(50));
    return Slowly(1, 1000, 60, milliseconds(200));
  });
  BlockingClient client;
  ClientResult result;
  auto took = TimeOf([&] { result = client.Send(Get(server, "/stops")); });
  CHECK(result.error);
  CHECK(took < 2 * kStall + milliseconds(400));
  took = TimeOf([&] { result = client.Send(Get(server, "/trickles")); });
  CHECK(result.error);
  CHECK(took >= kTotal);
  CHECK(took < kTotal + milliseconds(1000));
}

// Guards against small calls that are given up, and connections that are
// dropped, while a large response takes up the link to the server.
TEST_CASE("a call waits behind a large response of the same server") {
  ScriptedServer server([](const std::string& target) {
    if (target == "/large")
      return Slowly(20'000, 15, 15, milliseconds(80));
    return ScriptedServer::Script{
        {target == "/late" ? milliseconds(1000) : milliseconds(5000),
         ResponseText("200 OK", "small")}};
  });
  IoThreads threads(1);
  Client client(threads, {});
  BlockingClient other;
  std::promise<ClientResult> large;
  client.Send(Get(server, "/large"), [&large](ClientResult result) {
    large.set_value(std::move(result));
  });
  std::promise<ClientResult> late;
  client.Send(Get(server, "/late"), [&late](ClientResult result) {
    late.set_value(std::move(result));
  });
  std::promise<ClientResult> lost;
  auto started = base::TimePoint::clock::now();
  client.Send(Get(server, "/lost"), [&lost](ClientResult result) {
    lost.set_value(std::move(result));
  });
  CHECK_FALSE(late.get_future().get().error);
  CHECK_FALSE(large.get_future().get().error);
  // Not for longer than the large one arrives.
  CHECK(lost.get_future().get().error);
  CHECK(base::TimePoint::clock::now() - started < milliseconds(2500));
  // Nothing large arrives: the timeout holds.
  CHECK(other.Send(Get(server, "/late")).error);
}

// Guards against calls whose responses are lost, and that are not given up
// while large responses of the same server come and go, fast or without end.
TEST_CASE("a lost response is missed beside others that are large") {
  bool slow = GENERATE(true, false);
  ScriptedServer server([slow](const std::string& target) {
    if (target == "/lost")
      return ScriptedServer::Script{};
    if (slow)
      return Slowly(20'000, 100, 100, milliseconds(100));
    return ScriptedServer::Script{
        {{}, ResponseText("200 OK", std::string(200'000, 'x'))}};
  });
  IoThreads threads(1);
  Client client(threads, {});
  std::promise<void> done;
  std::function<void()> read_large = [&] {
    client.Send(Get(server, "/large"), [&](const ClientResult& result) {
      if (!result.error && !slow)
        read_large();
    });
  };
  read_large();
  auto started = base::TimePoint::clock::now();
  client.Send(Get(server, "/lost"), [&done](const ClientResult& result) {
    CHECK(result.error);
    done.set_value();
  });
  done.get_future().wait();
  auto took = base::TimePoint::clock::now() - started;
  threads.Stop();
  CHECK(took < kTimeout + (slow ? kBehindSlow : kStall) + milliseconds(300));
}

// Guards against a table that is asked again for changes that are too large to
// be read.
TEST_CASE("a response over the limit says so") {
  ScriptedServer server([](const std::string&) {
    return Slowly(1000, kParts, kParts, milliseconds(1));
  });
  BlockingClient client({.max_body_bytes = 4000});
  CHECK(client.Send(Get(server, "/")).too_large);
  BlockingClient larger({.max_body_bytes = 8000});
  CHECK_FALSE(larger.Send(Get(server, "/")).too_large);
}

}  // namespace
}  // namespace vanillalever::http
