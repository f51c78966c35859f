#include "fake_service.h"

#include <chrono>
#include <filesystem>
#include <thread>

#include <catch2/catch.hpp>

#include "http_fixture.h"
#include "vanillalever/base/random.h"

namespace vanillalever::fakes {
namespace {

// Fake service whose calls carry one idempotency key.
struct Fixture : HttpFixture<FakeService> {
  explicit Fixture(const ServiceSettings& settings = {})
      : HttpFixture(settings) {
    headers = {{"Idempotency-Key", "key-1"}};
  }

  void Control(const nlohmann::json& faults) {
    REQUIRE(Post("/control/test", faults).status == 200);
  }
  http::ClientResult Pay(base::Duration timeout = base::seconds(5)) {
    return Post("/pay-grower", {{"ref", "p/1"}}, timeout);
  }
  std::size_t executions() { return Get("/ledger").at("executions").size(); }
};

// Guards against ledgers that omit or merge executions: by default a repeated
// key is executed again.
TEST_CASE("every execution is in the ledger") {
  Fixture test;
  auto response = nlohmann::json::parse(test.Pay().body);
  CHECK(response.at("operation") == "pay-grower");
  CHECK(response.at("ref") == "p/1");
  CHECK(response.at("key") == "key-1");
  test.Pay();
  CHECK(test.executions() == 2);
}

// Guards against a service that executes a key twice although it honours keys.
TEST_CASE("a service that honours keys executes once") {
  Fixture test({.honour_keys = true, .ledger_file = "", .seed = 1});
  CHECK(test.Pay().body == test.Pay().body);
  CHECK(test.executions() == 1);
}

// Guards against faults that occur on the wrong side of the execution.
TEST_CASE("failures occur before or after the execution") {
  Fixture test;
  test.Control({{"fail_before_rate", 1}});
  CHECK(test.Pay().status == 500);
  CHECK(test.executions() == 0);
  test.Control({{"fail_before_rate", 0}, {"fail_after_rate", 1}});
  CHECK(test.Pay().status == 500);
  CHECK(test.executions() == 1);
  test.Control({{"fail_after_rate", 0}, {"drop_after_rate", 1}});
  auto dropped = test.Pay();
  REQUIRE(dropped.error);
  CHECK(dropped.error->ran == base::ExecutionStatus::kUnknown);
  CHECK(test.executions() == 2);
  test.Control({{"drop_after_rate", 0}});
  CHECK(test.Pay().status == 200);
}

// Guards against a blocked call that executes early, or that is cancelled when
// its caller disconnects.
TEST_CASE("a hanging call executes when the hang ends") {
  Fixture test;
  test.Control({{"hang", true}});
  REQUIRE(test.Pay(base::milliseconds(300)).error);
  CHECK(test.Get("/load").at("running") == 1);
  CHECK(test.executions() == 0);
  test.Control({{"hang", false}, {"delay_ms", 30}});
  auto start = std::chrono::steady_clock::now();
  CHECK(test.Pay().status == 200);
  CHECK(std::chrono::steady_clock::now() - start >= base::milliseconds(30));
  CHECK(test.executions() == 2);
}

// Guards against executions that are lost when the process restarts.
TEST_CASE("the ledger file survives the service") {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / base::RandomId();
  ServiceSettings settings{
      .honour_keys = false, .ledger_file = path.string(), .seed = 1};
  Fixture(settings).Pay();
  Fixture test(settings);
  CHECK(test.executions() == 1);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace vanillalever::fakes
