#include <functional>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/node_settings.h"
#include "platform/operator_config.h"
#include "platform/row_json.h"
#include "platform/server_registration.h"
#include "target.h"
#include "vanillalever/base/error.h"
#include "vanillalever/conversation/turn_record.h"
#include "vanillalever/forwarding/budget_row.h"
#include "vanillalever/forwarding/stream_record.h"
#include "vanillalever/forwarding/table_codec.h"
#include "vanillalever/guard/strike_codec.h"

namespace vanillalever::fuzz {
namespace {

namespace adapter = platform_adapter;

std::vector<std::string> JsonTokens() {
  return {"null",
          "-1",
          "1e999",
          "{}",
          "[]",
          "\"\"",
          "18446744073709551616",
          "true",
          "\\u",
          "[[[[",
          "{\"a",
          "0.5",
          "\xff\xfe",
          "-9223372036854775808"};
}

class CodecTarget final : public Target {
 public:
  CodecTarget(std::string name,
              std::vector<std::string> samples,
              std::vector<std::string> tokens,
              std::uint64_t seed,
              std::function<void(const std::string&)> run)
      : name_(std::move(name)),
        mutator_(std::move(samples), std::move(tokens), seed),
        run_(std::move(run)) {}

  std::string name() const override { return name_; }
  std::string NextInput() override { return mutator_.Next(); }
  void Run(const std::string& input) override { run_(input); }

 private:
  std::string name_;
  Mutator mutator_;
  std::function<void(const std::string&)> run_;
};

// Bad input may only end in the error that the callers of `function` handle.
template <typename Error, typename Function>
void Allow(Function function) {
  try {
    function();
  } catch (const Error&) {
  }
}

// What was understood has to survive being written and read again.
template <typename Decode, typename Encode>
std::function<void(const std::string&)> RoundTrip(Decode decode,
                                                  Encode encode) {
  return [=](const std::string& input) {
    auto value = decode(input);
    if (!value)
      return;
    std::string once = encode(*value);
    auto again = decode(once);
    if (!again || encode(*again) != once)
      throw Finding("a decoded value is not read again as it was written");
  };
}

std::string SampleConfig() {
  return R"({"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/p/",
    "kind":"streaming","service":"m","timeoutMs":3000,"goalMs":200,"priority":1,
    "maxAttempts":2,"stateful":true,"retentionS":60.0,"sticky":true,
    "resumable":true}],"services":[{"name":"m","healthPath":"/h","maxConns":9,
    "engine":{"slots":12,"kvCapacity":90000,"eventTokens":5}}],"limits":
    {"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":1000,
    "idleTimeoutMs":5000}})";
}

std::string SampleRegistration() {
  return R"({"service":"m","address":"127.0.0.1:80","zone":"z","version":"v1",
    "slots":6,"state":"ready","coldLeftMs":0,"seq":1,"born":1})";
}

std::string SampleRecord() {
  conversation::TurnRecord record{
      {"a1", "a2"}, "question", "id: 1\ndata: x\n\n", "acme"};
  return conversation::EncodeTurnRecord(record);
}

std::vector<std::string> SampleCalls() {
  forwarding::TableWrite write;
  write.name = {"budgets", "", "p"};
  write.value = "12 a=3";
  forwarding::TableRange range;
  range.table = "turns";
  return {
      forwarding::EncodeTableCall(std::vector<forwarding::TableWrite>{write}),
      forwarding::EncodeTableCall(range)};
}

}  // namespace

std::vector<std::unique_ptr<Target>> CodecTargets(std::uint64_t seed) {
  std::vector<std::unique_ptr<Target>> targets;
  auto add = [&](std::string name, std::vector<std::string> samples,
                 std::vector<std::string> tokens, auto run) {
    targets.push_back(std::make_unique<CodecTarget>(
        std::move(name), std::move(samples), std::move(tokens), seed, run));
  };
  add("config", {SampleConfig()}, JsonTokens(), [](const std::string& input) {
    Allow<base::Error>([&] { adapter::ParseOperatorConfig(input); });
  });
  add("registration", {SampleRegistration()}, JsonTokens(),
      [](const std::string& input) {
        adapter::ParseServerRegistration("i-1", input);
      });
  add("row",
      {R"({"table":"op","part":"","key":"k","ver":3,"value":"YWJj"})",
       R"({"table":"op","part":"","key":"k","ver":3,"deleted":true})"},
      JsonTokens(), [](const std::string& input) {
        Allow<nlohmann::json::exception>(
            [&] { adapter::ParseRow(nlohmann::json::parse(input)); });
      });
  add("settings",
      {"node: \"a\"\nip: \"127.0.0.1\"\nzone: \"z\"\nlisten:\n  front: "
       "\"127.0.0.1:1\"\nportRange: [1, 2]\nprovider:\n  address: "
       "\"127.0.0.1:2\"\nlimits:\n  memoryMb: 96\n  cpuShare: 0.5\n"},
      {": ", "- ", "\n  ", "{", "~", "&a ", "*a"},
      [](const std::string& input) {
        Allow<base::Error>([&] { adapter::ParseNodeSettings(input); });
      });
  add("strike",
      {R"({"fingerprint":"ab","crashes":3,"last_crash_ms":17,"by":["r"]})"},
      JsonTokens(), [](const std::string& input) {
        Allow<base::Error>(
            [&] { guard::StrikeCodec::Decode("strike/ab", input); });
      });
  add("budget_row", {"120 ab=40 cd=80!", "0", "-5 1=2"},
      {"=", "!", " ", "-", "99999999999999999999"},
      RoundTrip(
          [](std::string_view text) {
            return std::optional(forwarding::ParseBudgetRow(text, 1));
          },
          forwarding::EncodeBudgetRow));
  add("turn_record", {SampleRecord()}, {std::string(4, '\0'), "\xff\xff\xff"},
      RoundTrip(conversation::DecodeTurnRecord,
                conversation::EncodeTurnRecord));
  add("stream_origin", {forwarding::EncodeStreamOrigin({"m", "v1"})},
      {std::string(1, '\0'), "\n", "\""},
      RoundTrip(forwarding::DecodeStreamOrigin,
                forwarding::EncodeStreamOrigin));
  add("table_call", SampleCalls(), {std::string(4, '\0'), "\xff\xff\xff\x7f"},
      RoundTrip(forwarding::DecodeTableCall, forwarding::EncodeTableCall));
  add("table_reply", {forwarding::EncodeTableReply(forwarding::ReadResult())},
      {std::string(4, '\0'), "\xff\xff\xff\x7f"}, [](const std::string& input) {
        forwarding::DecodeReadReply(input);
        forwarding::DecodeTransactionReply(input);
      });
  return targets;
}

}  // namespace vanillalever::fuzz
