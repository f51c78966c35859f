#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "backend.h"
#include "scripted_server.h"

namespace vanillalever::sidecar {
namespace {

using http::ResponseText;
using http::ScriptedServer;

constexpr base::seconds kTimeout{10};
constexpr base::seconds kAtOnce{5};
constexpr base::milliseconds kPause{30};

using MakeBackend = std::unique_ptr<Backend> (*)(http::Client&, std::string);
constexpr MakeBackend kBackends[] = {&MakeEngineBackend, &MakeServiceBackend};

std::string EventField() {
  return "Content-Type: text/event-stream\r\n";
}

// Responses that cannot be used.
std::vector<std::string> Forms() {
  const std::string body = "data: leak\n\n";
  return {ResponseText("000 X", body, EventField()),
          ResponseText("101 X", "", EventField()),
          ResponseText("200 OK", body, "Leak Field: x\r\n"),
          ResponseText("200 OK", body, "Leak\001Field: x\r\n"),
          ResponseText("200 OK", body, "Transfer-Encoding: gzip\r\n")};
}

// A backend server that sends `script`, and what calls it.
class Calls {
 public:
  Calls(const ScriptedServer::Script& script, MakeBackend make)
      : server_([script](const std::string&) { return script; }),
        backend_(make(client_, server_.address())) {}

  BackendResult Run() {
    protocol::ExecuteRequest request;
    request.operation = "act";
    request.body = "{}";
    request.max_tokens = 1;
    return Await<BackendResult>([&](auto done) {
      backend_->Run(
          request, kTimeout, [this](const std::string& text) { text_ += text; },
          std::move(done));
    });
  }
  bool Release() {
    return Await<bool>(
        [this](auto done) { backend_->Release({}, std::move(done)); });
  }
  bool Probe() {
    return Await<bool>([this](auto done) { backend_->Probe(std::move(done)); });
  }
  // Text of all tokens.
  const std::string& text() const { return text_; }

 private:
  template <typename Result, typename Begin>
  Result Await(Begin begin) {
    std::promise<Result> result;
    begin([&result](Result value) { result.set_value(std::move(value)); });
    return result.get_future().get();
  }

  ScriptedServer server_;
  http::IoThreads threads_{1};
  http::Client client_{threads_, {}};
  std::unique_ptr<Backend> backend_;
  std::string text_;
};

// Guards against bytes that are no response reaching the caller as a body or
// within the message of an error, against waiting for more of them, and against
// a search for a crash that did not happen.
TEST_CASE("a response of a backend server that cannot be used is an error") {
  for (MakeBackend make : kBackends) {
    for (const std::string& form : Forms()) {
      INFO(form);
      Calls calls({{{}, form}, {kPause, ResponseText("200 OK", "{}")}}, make);
      auto started = base::TimePoint::clock::now();
      BackendResult result = calls.Run();
      CHECK(base::TimePoint::clock::now() - started < kAtOnce);
      REQUIRE(result.error);
      CHECK(result.error->ran == base::ExecutionStatus::kUnknown);
      CHECK(result.error->message.find("leak") == std::string::npos);
      CHECK(result.body.find("leak") == std::string::npos);
      CHECK(calls.text().empty());
      CHECK_FALSE(result.connection_lost);
    }
  }
}

// Guards against a release that no engine has confirmed.
TEST_CASE("a response that cannot be used confirms no release") {
  for (const std::string& form : Forms()) {
    INFO(form);
    Calls calls({{{}, form}, {kPause, ResponseText("200 OK", "{}")}},
                &MakeEngineBackend);
    CHECK_FALSE(calls.Release());
  }
}

// A health probe only tells whether the server accepts connections: one that
// sends bytes that are no response has not crashed.
TEST_CASE("a server whose response to a probe cannot be used is reachable") {
  for (const std::string& form : Forms()) {
    INFO(form);
    Calls calls({{{}, form}}, &MakeServiceBackend);
    auto started = base::TimePoint::clock::now();
    CHECK(calls.Probe());
    CHECK(base::TimePoint::clock::now() - started < kAtOnce);
  }
}

// Guards against an interim response being taken for the response.
TEST_CASE("the response of a backend server may follow an interim one") {
  const std::string early = "HTTP/1.1 103 X\r\n\r\n";
  Calls service({{{}, early}, {kPause, ResponseText("200 OK", "{\"a\":1}")}},
                &MakeServiceBackend);
  for (int i = 0; i < 2; ++i) {
    BackendResult result = service.Run();
    CHECK_FALSE(result.error);
    CHECK(result.body == "{\"a\":1}");
  }
  const std::string events =
      "data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n"
      "data: [DONE]\n\n";
  Calls engine(
      {{{}, early}, {kPause, ResponseText("200 OK", events, EventField())}},
      &MakeEngineBackend);
  CHECK_FALSE(engine.Run().error);
  CHECK(engine.text() == "hi");
}

}  // namespace
}  // namespace vanillalever::sidecar
