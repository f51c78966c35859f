#include "fake_engine.h"

#include <chrono>
#include <functional>
#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "http_fixture.h"
#include "vanillalever/http/event_parser.h"

namespace vanillalever::fakes {
namespace {

EngineSettings FastEngine() {
  EngineSettings settings;
  settings.batch.decode_rate = 2000;
  settings.batch.total_decode_rate = 20000;
  settings.load_lag = base::milliseconds(0);
  return settings;
}

struct Fixture : HttpFixture<FakeEngine> {
  explicit Fixture(EngineSettings settings = FastEngine())
      : HttpFixture(settings) {}

  void Control(const nlohmann::json& faults) {
    REQUIRE(Post("/control/test", faults).status == 200);
  }
  http::ClientResult Complete(const nlohmann::json& extra = {},
                              base::Duration timeout = base::seconds(10)) {
    nlohmann::json body = {
        {"messages", {{{"role", "user"}, {"content", "hello"}}}},
        {"cache_key", "p"},
        {"ref", "r"},
        {"output_tokens", 5}};
    if (!extra.is_null())
      body.update(extra);
    return Post("/v1/chat/completions", body, timeout);
  }
  // Waits until the ledger has `count` requests and returns the last one.
  nlohmann::json LastRequest(std::size_t count) {
    for (int i = 0; i < 500; ++i) {
      auto requests = Get("/ledger").at("requests");
      if (requests.size() == count)
        return requests.back();
      std::this_thread::sleep_for(base::milliseconds(10));
    }
    FAIL("the ledger does not reach the expected size");
    return {};
  }
  // Waits until GET /load reports the value.
  void WaitForLoad(const std::string& name, int value) {
    for (int i = 0; i < 500; ++i) {
      if (Get("/load").value(name, -1) == value)
        return;
      std::this_thread::sleep_for(base::milliseconds(10));
    }
    FAIL("the load does not reach the expected value");
  }
};

// Guards against responses that cannot be matched to their request, and against
// wrong usage figures.
TEST_CASE("a completion contains the marker of its prompt and its usage") {
  Fixture test;
  auto response = nlohmann::json::parse(test.Complete().body);
  const auto& choice = response.at("choices").at(0);
  CHECK(choice.at("message").at("content") ==
        ResponseMarker("hello") + " w1 w2 w3 w4");
  CHECK(choice.at("finish_reason") == "stop");
  CHECK(response.at("usage").at("completion_tokens") == 5);
  auto limited = nlohmann::json::parse(test.Complete({{"max_tokens", 2}}).body);
  CHECK(limited.at("choices").at(0).at("finish_reason") == "length");
  CHECK(limited.at("usage").at("completion_tokens") == 2);
  CHECK(test.Complete({{"messages", nlohmann::json::array()}}).status == 400);
  CHECK(test.Send("POST", "/v1/chat/completions", "{").status == 400);
}

// Guards against streams that differ from the non-streamed response.
TEST_CASE("a streamed completion ends with usage and [DONE]") {
  Fixture test;
  auto result = test.Complete({{"stream", true}});
  std::string text;
  std::vector<std::string> events;
  http::EventParser parser([&](const http::Event& event) {
    events.push_back(event.data);
    if (event.data == "[DONE]")
      return;
    auto choices = nlohmann::json::parse(event.data).at("choices");
    if (!choices.empty())
      text += choices.at(0).at("delta").at("content");
  });
  parser.Feed(result.body);
  CHECK(text == ResponseMarker("hello") + " w1 w2 w3 w4");
  REQUIRE(events.size() == 8);
  CHECK(events.back() == "[DONE]");
  CHECK(nlohmann::json::parse(events[6]).at("usage").at("completion_tokens") ==
        5);
}

// Guards against engines that keep generating after the client disconnected.
TEST_CASE("closing the connection cancels the request") {
  Fixture test;
  bool stream = GENERATE(true, false);
  CHECK(test.Complete({{"stream", stream},
                       {"output_tokens", 1000000},
                       {"max_tokens", 1000000}},
                      base::milliseconds(400))
            .error);
  auto request = test.LastRequest(1);
  CHECK(request.at("state") == "cancelled");
  CHECK(request.at("completion_tokens") < 1000000);
  test.WaitForLoad("running", 0);
}

// Guards against a prefix cache that is dropped between turns or survives a
// release.
TEST_CASE("the cache is kept between turns and released on command") {
  Fixture test;
  test.Complete();
  nlohmann::json turn = {
      {"messages",
       {{{"role", "user"}, {"content", "hello"}},
        {{"role", "assistant"},
         {"content", ResponseMarker("hello") + " w1 w2 w3 w4"}},
        {{"role", "user"}, {"content", "more"}}}}};
  auto usage = nlohmann::json::parse(test.Complete(turn).body).at("usage");
  CHECK(usage.at("prompt_tokens_details").at("cached_tokens") > 10);
  CHECK(test.Get("/ledger").at("cache").contains("p"));
  CHECK(
      test.Post("/control/release", {{"cache_key", "p"}, {"fencing_token", 1}})
          .status == 200);
  CHECK(test.Get("/ledger").at("cache").empty());
}

// Guards against control commands of a previous owner.
TEST_CASE("stale fencing tokens are rejected if the setting says so") {
  EngineSettings settings = FastEngine();
  settings.check_fencing = GENERATE(true, false);
  Fixture test(settings);
  auto role = [&test](const std::string& name, const std::string& scope,
                      int token) {
    return test
        .Post("/control/role",
              {{"role", name}, {"scope", scope}, {"fencing_token", token}})
        .status;
  };
  CHECK(role("decode", "7", 5) == 200);
  CHECK(role("prefill", "7", 4) == (settings.check_fencing ? 409 : 200));
  CHECK(role("mixed", "8", 1) == 200);
  CHECK(test.Post("/control/load", {{"model", "m"},
                                    {"version", "2"},
                                    {"scope", "7"},
                                    {"fencing_token", 5}})
            .status == 200);
}

// Guards against a load report without the delay of real engines.
TEST_CASE("the load report lags") {
  EngineSettings settings = FastEngine();
  bool lagging = GENERATE(true, false);
  if (lagging)
    settings.load_lag = base::seconds(60);
  Fixture test(settings);
  test.WaitForLoad("running", 0);
  test.Control({{"speed", 0.0001}});
  auto completion = std::async(std::launch::async, [&test] {
    return test.Complete({}, base::milliseconds(700));
  });
  if (lagging) {
    CHECK(completion.get().error);
    CHECK(test.Get("/load").at("running") == 0);
  } else {
    test.WaitForLoad("running", 1);
    CHECK(completion.get().error);
  }
}

// Guards against fault settings that have no effect.
TEST_CASE("the engine fails, hangs and slows down on command") {
  Fixture test;
  test.Control({{"fail_rate", 1}});
  CHECK(test.Complete().status == 500);
  test.Control({{"fail_rate", 0}, {"hang", true}});
  CHECK(test.Complete({}, base::milliseconds(400)).error);
  CHECK(test.LastRequest(1).at("state") == "cancelled");
  // 5 tokens at 20 tokens/s.
  test.Control({{"hang", false}, {"speed", 0.01}});
  auto start = std::chrono::steady_clock::now();
  CHECK(test.Complete().status == 200);
  CHECK(std::chrono::steady_clock::now() - start > base::milliseconds(200));
}

}  // namespace
}  // namespace vanillalever::fakes
