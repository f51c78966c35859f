#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "scripted_server.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::http {
namespace {

// Time limit of a request, and a bound for what must not wait for it.
constexpr base::seconds kTimeout{10};
constexpr base::seconds kAtOnce{5};
// Until a server that sends a response in pieces sends the next one.
constexpr base::milliseconds kPause{30};

struct Form {
  std::string name;
  ScriptedServer::Script script;
};

ClientRequest RequestFor(const ScriptedServer& server, std::string target) {
  ClientRequest request;
  request.address = server.address();
  request.target = std::move(target);
  request.timeout = kTimeout;
  return request;
}

// Sends "/next" its target as the body, everything else `script`.
ScriptedServer ServerOf(const ScriptedServer::Script& script) {
  return ScriptedServer([script](const std::string& target) {
    if (target == "/next")
      return ScriptedServer::Script{{{}, ResponseText("200 OK", target)}};
    return script;
  });
}

// Checks that a response of this form is an error at once, and that its
// connection carries no other request.
void CheckUnusable(const Form& form) {
  INFO(form.name);
  ScriptedServer server = ServerOf(form.script);
  BlockingClient client;
  auto started = base::TimePoint::clock::now();
  ClientResult result = client.Send(RequestFor(server, "/"));
  CHECK(base::TimePoint::clock::now() - started < kAtOnce);
  CHECK(result.status == 0);
  CHECK(result.body.empty());
  REQUIRE(result.error);
  CHECK(result.error->ran == base::ExecutionStatus::kUnknown);
  CHECK(result.error->code == base::ErrorCode::kUnavailable);
  ClientResult next = client.Send(RequestFor(server, "/next"));
  CHECK_FALSE(next.error);
  CHECK(next.body == "/next");
  CHECK(server.connections() == 2);
}

// Guards against a status that is none being taken for one, and against the
// next request getting the response that follows it.
TEST_CASE("a response whose status is out of range is an error") {
  std::vector<Form> forms;
  for (std::string status : {"000", "001", "099", "600", "999"}) {
    forms.push_back({status, {{{}, ResponseText(status + " X", "leak")}}});
    forms.push_back({status + " in chunks",
                     {{{},
                       "HTTP/1.1 " + status +
                           " X\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "4\r\nleak\r\n0\r\n\r\n"}}});
    forms.push_back({status + " before another response",
                     {{{}, ResponseText(status + " X", "")},
                      {kPause, ResponseText("200 OK", "leak")}}});
  }
  for (const Form& form : forms)
    CheckUnusable(form);
}

// Guards against waiting for a response on a connection that the server has
// switched to another protocol, and against taking what follows for one.
TEST_CASE("a change of protocol that was not asked for is an error") {
  const std::string head =
      "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
  CheckUnusable({"alone", {{{}, head}}});
  CheckUnusable({"before another response",
                 {{{}, head}, {kPause, ResponseText("200 OK", "leak")}}});
}

// Guards against a body in a coding that is unknown here being taken for the
// body itself, and against waiting for its end.
TEST_CASE("a response in an unknown transfer coding is an error") {
  const std::string chunks = "4\r\nleak\r\n0\r\n\r\n";
  const Form forms[] = {
      {"gzip", {{{}, "Transfer-Encoding: gzip\r\n\r\nleak"}}},
      {"gzip, chunked",
       {{{}, "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks}}},
      {"gzip and chunked",
       {{{},
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" +
             chunks}}},
      {"gzip with a length",
       {{{}, "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nleak"}}},
      {"a length with gzip",
       {{{}, "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n\r\nleak"}}},
      {"chunked, gzip",
       {{{}, "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunks}}},
      {"chunked twice",
       {{{}, "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks}}},
      {"identity", {{{}, "Transfer-Encoding: identity\r\n\r\nleak"}}}};
  for (Form form : forms) {
    form.script.front().bytes.insert(0, "HTTP/1.1 200 OK\r\n");
    CheckUnusable(form);
  }
}

// Guards against a field that is none being taken for one, and against a body
// whose extent such a field conceals.
TEST_CASE("a response with a malformed field name is an error") {
  const std::string names[] = {"Leak Field: x",
                               "Leak\tField: x",
                               "Leak\001Field: x",
                               "Leak\177Field: x",
                               "Leak\xc3\xa9: x",
                               std::string("Leak\0Field: x", 13),
                               "Leak\rField: x",
                               "Leak\vField: x",
                               "Leak : x",
                               ": leak",
                               "Leak",
                               " Leak: x",
                               "Content Length: 1",
                               "Transfer\001Encoding: chunked"};
  for (const std::string& line : names) {
    for (const char* status : {"200 OK", "404 Not Found", "503 X", "103 X"})
      CheckUnusable({line + " with " + status,
                     {{{}, ResponseText(status, "leak", line + "\r\n")}}});
    CheckUnusable({line + " as a trailer",
                   {{{},
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "4\r\nleak\r\n0\r\n" +
                         line + "\r\n\r\n"}}});
  }
}

// Guards against an interim response being taken for the response to the
// request, which the next request gets then.
TEST_CASE("interim responses precede the response") {
  for (std::string status : {"100 Continue", "102 X", "103 Early Hints"}) {
    INFO(status);
    const std::string interim = "HTTP/1.1 " + status + "\r\nLink: x\r\n\r\n";
    ScriptedServer server =
        ServerOf({{{}, interim},
                  {kPause, interim + ResponseText("201 Created", "body")}});
    BlockingClient client;
    ClientResult result = client.Send(RequestFor(server, "/"));
    CHECK_FALSE(result.error);
    CHECK(result.status == 201);
    CHECK(result.body == "body");
    CHECK(result.headers.count("link") == 0);
    std::string streamed;
    client.Send(RequestFor(server, "/"),
                [&streamed](std::string_view data) { streamed += data; });
    CHECK(streamed == "body");
    CHECK(client.Send(RequestFor(server, "/next")).body == "/next");
    CHECK(server.connections() == 1);
  }
}

// Guards against interim responses without end.
TEST_CASE("too many interim responses are an error") {
  std::string interim;
  for (int i = 0; i < 100; ++i)
    interim += "HTTP/1.1 102 X\r\n\r\n";
  CheckUnusable({"100 interim responses", {{{}, interim}}});
}

// Guards against a request that is sent a second time to a server which has
// begun to respond on a reused connection.
TEST_CASE("a request is not repeated after an interim response") {
  std::atomic<int> requests = 0;
  ScriptedServer server([&requests](const std::string& target) {
    if (target == "/next")
      return ScriptedServer::Script{{{}, ResponseText("200 OK", target)}};
    ++requests;
    return ScriptedServer::Script{{{}, "HTTP/1.1 103 X\r\n\r\n"},
                                  {kPause, "", true}};
  });
  BlockingClient client;
  REQUIRE_FALSE(client.Send(RequestFor(server, "/next")).error);
  ClientResult result = client.Send(RequestFor(server, "/"));
  REQUIRE(result.error);
  CHECK(result.error->ran == base::ExecutionStatus::kUnknown);
  CHECK(requests == 1);
}

// Guards against rejecting responses that are unusual but sound.
TEST_CASE("unusual responses are read") {
  struct Sound {
    std::string status;
    std::string fields;
  };
  const Sound forms[] = {{"299 X", ""},
                         {"418 X", ""},
                         {"599 X", ""},
                         {"200 ", ""},
                         {"200 OK", "Upgrade: x\r\n"},
                         {"200 OK", "Empty:\r\n"},
                         {"200 OK", "Tab: a\tb\r\n"},
                         {"200 OK", "Utf: \xc3\xa9\r\n"},
                         {"200 OK", "X!#$%&'*+-.^_`|~1: x\r\n"}};
  for (const Sound& form : forms) {
    INFO(form.status << " " << form.fields);
    ScriptedServer server =
        ServerOf({{{}, ResponseText(form.status, "body", form.fields)}});
    BlockingClient client;
    ClientResult result = client.Send(RequestFor(server, "/"));
    CHECK_FALSE(result.error);
    CHECK(result.status == std::stoi(form.status));
    CHECK(result.body == "body");
    CHECK(client.Send(RequestFor(server, "/next")).body == "/next");
    CHECK(server.connections() == 1);
  }
}

}  // namespace
}  // namespace vanillalever::http
