#ifndef VANILLALEVER_FAKES_TESTS_HTTP_FIXTURE_H_
#define VANILLALEVER_FAKES_TESTS_HTTP_FIXTURE_H_

#include <utility>

#include <future>
#include <string>

#include <nlohmann/json.hpp>

#include "fake_server.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::fakes {

// An in-process test double behind a server, and a client for it.
template <typename Fake>
struct HttpFixture {
  template <typename... Arguments>
  explicit HttpFixture(Arguments&&... arguments)
      : fake(std::forward<Arguments>(arguments)...) {}

  http::ClientResult Send(const std::string& method,
                          const std::string& target,
                          const std::string& body = "",
                          base::Duration timeout = base::seconds(10)) {
    http::ClientRequest request;
    request.address = server.address();
    request.method = method;
    request.target = target;
    request.body = body;
    request.timeout = timeout;
    request.headers = headers;
    // The client may retry a request on a reused connection.
    request.new_connection = true;
    return client.Send(request);
  }

  http::ClientResult Post(const std::string& target,
                          const nlohmann::json& body,
                          base::Duration timeout = base::seconds(10)) {
    return Send("POST", target, body.dump(), timeout);
  }

  nlohmann::json Get(const std::string& target) {
    return nlohmann::json::parse(Send("GET", target).body);
  }

  // Sent with every request.
  std::vector<std::pair<std::string, std::string>> headers;
  Fake fake;
  FakeServer server{[this](HttpExchange& exchange) { fake.Handle(exchange); }};
  http::BlockingClient client;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_TESTS_HTTP_FIXTURE_H_
