#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/protocol/node_client.h"
#include "vanillalever/protocol/rpc_server.h"

namespace vanillalever::protocol {
namespace {

// Streams the characters of the body one by one, then replies with the body.
// Never replies to operation "never".
class EchoHandler : public NodeHandler {
 public:
  void OnExecute(ExecuteRequest request,
                 Responder<ExecuteResult> responder) override {
    if (request.operation == "never") {
      unanswered_.push_back(std::move(responder));
      return;
    }
    std::thread([request = std::move(request),
                 responder = std::move(responder)] {
      responder.token("text of a lost attempt");
      responder.reset();
      for (char c : request.body)
        responder.token(std::string(1, c));
      ExecuteResult result;
      result.body = request.body;
      result.output_tokens = request.turn;
      responder.done(std::move(result));
    }).detach();
  }
  LoadReport OnReport(std::uint64_t config_version) override {
    LoadReport report;
    report.config_version = config_version + 1;
    report.held_programs = {"a", "b"};
    return report;
  }

 private:
  std::vector<Responder<ExecuteResult>> unanswered_;
};

struct ClientAndServer {
  explicit ClientAndServer(const std::string& client_key = "key") {
    server = std::make_unique<RpcServer>(
        loop, RpcServerSettings{"127.0.0.1", 0, "key"}, handler, counters);
    NodeClientSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(server->port());
    settings.shared_key = client_key;
    client = std::make_unique<NodeClient>(loop, settings);
  }

  Outcome<ExecuteResult> Execute(const ExecuteRequest& request,
                                 std::string* tokens = nullptr,
                                 base::Duration timeout = base::seconds(5)) {
    std::promise<Outcome<ExecuteResult>> done;
    client->Execute(
        request, timeout,
        [tokens](const StreamChunk& chunk) {
          if (tokens == nullptr)
            return;
          if (chunk.reset)
            tokens->clear();
          *tokens += chunk.text;
        },
        [&done](Outcome<ExecuteResult> outcome) {
          done.set_value(std::move(outcome));
        });
    return done.get_future().get();
  }

  RpcLoop loop;
  base::CounterRegistry counters;
  EchoHandler handler;
  std::unique_ptr<RpcServer> server;
  std::unique_ptr<NodeClient> client;
};

// Guards against streamed text that is lost, reordered or overtaken by the
// result.
TEST_CASE("execute streams all tokens before its result") {
  ClientAndServer fixture;
  for (std::uint32_t i = 1; i < 20; ++i) {
    ExecuteRequest request;
    request.turn = i;
    request.body = std::string(std::size_t{i} * 7, static_cast<char>('a' + i));
    std::string tokens;
    auto outcome = fixture.Execute(request, &tokens);
    REQUIRE_FALSE(outcome.error);
    CHECK(outcome.value.body == request.body);
    CHECK(outcome.value.output_tokens == i);
    CHECK(tokens == request.body);
  }
}

// Guards against a peer without the key that gets access to the node.
TEST_CASE("a wrong shared key is rejected as not run") {
  ClientAndServer fixture("other");
  auto outcome = fixture.Execute({});
  REQUIRE(outcome.error);
  CHECK(outcome.error->ran == base::ExecutionStatus::kNotRun);
}

// Guards against calls that never end, and against reporting "not run" for a
// call that was sent.
TEST_CASE("a call without a reply times out as unknown") {
  ClientAndServer fixture;
  ExecuteRequest request;
  request.operation = "never";
  auto outcome = fixture.Execute(request, nullptr, base::milliseconds(50));
  REQUIRE(outcome.error);
  CHECK(outcome.error->code == base::ErrorCode::kTimeout);
  CHECK(outcome.error->ran == base::ExecutionStatus::kUnknown);
  fixture.client->Reset();
  CHECK_FALSE(fixture.Execute({}).error);
}

// Guards against callers that wait forever after a client was destroyed.
TEST_CASE("pending calls end when the client is destroyed") {
  ClientAndServer fixture;
  CHECK_FALSE(fixture.Execute({}).error);
  ExecuteRequest request;
  request.operation = "never";
  std::promise<Outcome<ExecuteResult>> done;
  fixture.client->Execute(request, base::seconds(60), nullptr,
                          [&done](Outcome<ExecuteResult> outcome) {
                            done.set_value(std::move(outcome));
                          });
  fixture.client.reset();
  CHECK(done.get_future().get().error);
}

// Guards against a closed connection that is never replaced.
TEST_CASE("the client reconnects after the server was replaced") {
  ClientAndServer fixture;
  CHECK_FALSE(fixture.Execute({}).error);
  auto port = fixture.server->port();
  fixture.server.reset();
  CHECK(fixture.Execute({}).error);
  fixture.server = std::make_unique<RpcServer>(
      fixture.loop, RpcServerSettings{"127.0.0.1", port, "key"},
      fixture.handler, fixture.counters);
  // The first call may still use the old connection.
  fixture.Execute({});
  CHECK_FALSE(fixture.Execute({}).error);
}

// Guards against a malformed message that affects other connections.
TEST_CASE("mutated bytes close only their own connection") {
  ClientAndServer fixture;
  CHECK_FALSE(fixture.Execute({}).error);
  base::Random random(7);
  for (int round = 0; round < 50; ++round) {
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(fixture.server->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0);
    std::string bytes;
    for (int i = 0; i < 64; ++i)
      bytes += static_cast<char>(random.Below(round % 2 == 0 ? 256 : 3));
    [[maybe_unused]] auto sent =
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::close(socket);
  }
  ExecuteRequest request;
  request.body = "still served";
  CHECK(fixture.Execute(request).value.body == "still served");
}

// Guards against fields of a report that are lost in encoding or decoding.
TEST_CASE("a load report is transferred completely") {
  ClientAndServer fixture;
  std::promise<Outcome<LoadReport>> done;
  fixture.client->Report(41, base::seconds(5), [&done](Outcome<LoadReport> o) {
    done.set_value(std::move(o));
  });
  auto outcome = done.get_future().get();
  CHECK(outcome.value.config_version == 42);
  CHECK(outcome.value.held_programs.size() == 2);
}

}  // namespace
}  // namespace vanillalever::protocol
