#include <csignal>
#include <filesystem>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "child_process.h"
#include "vanillalever/base/random.h"
#include "vanillalever/base/settings.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::fakes {
namespace {

// The executables are in the directory of this test binary.
std::string FakePath(const std::string& name) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

// A started test double and its address.
struct RunningFake {
  RunningFake(const std::string& name,
              const std::vector<std::string>& arguments)
      : process(FakePath(name), arguments),
        address(process.WaitForLine("listening ")) {}

  http::ClientResult Send(const std::string& method,
                          const std::string& target,
                          const nlohmann::json& body = {}) {
    http::ClientRequest request;
    request.address = address;
    request.method = method;
    request.target = target;
    request.body = method == "POST" ? body.dump() : "";
    request.new_connection = true;
    return client.Send(request);
  }

  ChildProcess process;
  std::string address;
  http::BlockingClient client;
};

nlohmann::json Prompt(const std::string& text) {
  return {{"messages", {{{"role", "user"}, {"content", text}}}},
          {"output_tokens", 2}};
}

// Guards against executables that do not print their address or do not stop on
// SIGTERM.
TEST_CASE("each fake announces its port and stops on SIGTERM") {
  std::string name = GENERATE("fake_platform", "fake_engine", "fake_service");
  RunningFake fake(name, {"--port=0"});
  REQUIRE(fake.address.starts_with("127.0.0.1:"));
  CHECK(
      fake.Send("GET", name == "fake_platform" ? "/stats" : "/ledger").status ==
      200);
  fake.process.Signal(SIGTERM);
  CHECK(fake.process.Wait() == 0);
}

// Guards against accepting settings that the model cannot use.
TEST_CASE("invalid settings are rejected at start") {
  RunningFake fake("fake_engine", {"--decode_rate=0"});
  CHECK(fake.process.Wait() == base::kExitBadSettings);
}

// Guards against a crash marker that has no effect or matches other prompts.
TEST_CASE("an engine aborts only on a prompt with the marker") {
  RunningFake fake("fake_engine", {});
  fake.Send("POST", "/control/test", {{"crash_on", "poison"}});
  CHECK(fake.Send("POST", "/v1/chat/completions", Prompt("fine")).status ==
        200);
  auto result = fake.Send("POST", "/v1/chat/completions", Prompt("a poison"));
  REQUIRE(result.error);
  CHECK(result.error->ran == base::ExecutionStatus::kUnknown);
  CHECK(fake.process.Wait() == 128 + SIGABRT);
}

// Guards against executions that are missing from the ledger after a crash.
TEST_CASE("a service crashes before or after the execution") {
  bool after = GENERATE(true, false);
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / base::RandomId();
  std::vector<std::string> arguments = {"--ledger_file=" + path.string()};
  {
    RunningFake fake("fake_service", arguments);
    fake.Send("POST", "/control/test",
              {{after ? "crash_after" : "crash_before", "r-1"}});
    CHECK(fake.Send("POST", "/refund", {{"ref", "r-1"}}).error);
    CHECK(fake.process.Wait() == 128 + SIGABRT);
  }
  RunningFake restarted("fake_service", arguments);
  auto ledger = nlohmann::json::parse(restarted.Send("GET", "/ledger").body);
  CHECK(ledger.at("executions").size() == (after ? 1 : 0));
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace vanillalever::fakes
