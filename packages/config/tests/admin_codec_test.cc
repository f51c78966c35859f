#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sample_objects.h"
#include "vanillalever/config/admin_codec.h"

namespace vanillalever::config {
namespace {

ChangeSet SampleChange() {
  ChangeSet change;
  change.base_version = 7;
  change.token = "t1";
  change.author = "ana";
  change.reason = "raise the budget";
  change.put = {Budget{"small", BudgetScope::kProgram, 100}};
  change.remove = {{Kind::kPool, "old"}};
  return change;
}

// Guards against an entry and a tool that encode a change set differently.
TEST_CASE("a change request round-trips through its encoding") {
  DecodedChange decoded =
      AdminCodec::DecodeChange(AdminCodec::EncodeChange(SampleChange()));
  CHECK(decoded.errors.empty());
  CHECK(decoded.change == SampleChange());
}

// Guards against a rejected change whose reasons do not reach the operator.
TEST_CASE("a rejection carries its errors and conflicts") {
  ChangeResult result;
  result.errors = {{"pool/a", "place", "a declared object"}};
  result.conflicts = {{Kind::kPool, "a"}};
  ChangeResponse response =
      AdminCodec::DecodeChangeResponse(AdminCodec::EncodeChangeResponse(
          AdminCodec::MakeChangeResponse(result, 9)));
  REQUIRE(response.error);
  CHECK(response.error->code == base::ErrorCode::kConflict);
  CHECK(response.errors == result.errors);
  CHECK(response.conflicts == result.conflicts);
  CHECK(response.version == 9);
}

// Guards against audit trail fields that are lost in transmission.
TEST_CASE("history round-trips through its encoding") {
  ConfigVersion version;
  version.number = 3;
  version.author = "ana";
  version.time = "2026-01-02T03:04:05Z";
  version.reason = "first";
  version.token = "t1";
  version.body_hash = "00ff";
  version.diff = {{{Kind::kBudget, "small"},
                   DiffAction::kChanged,
                   {{"tokens", "100", "200"}, {"scope", "", "\"program\""}}}};
  std::vector<ConfigVersion> versions = {version};
  CHECK(AdminCodec::DecodeHistory(AdminCodec::EncodeHistory(versions)) ==
        versions);
}

// Guards against a status field that only one side encodes or decodes.
TEST_CASE("status round-trips through its encoding") {
  AdminStatus status;
  status.version = 4;
  status.entries = {{"e1", "127.0.0.1:1", "a", 2, 30, 4, true}};
  status.servers = {{"desk", "127.0.0.1:2", "a", "s1", "live", 4, 500, 2, 1,
                     1.5, std::chrono::milliseconds(80)}};
  CHECK(AdminCodec::DecodeStatus(AdminCodec::EncodeStatus(status)) == status);
}

// Guards against a corrupt row or message that crashes a process: the decoders
// may throw only base::Error.
TEST_CASE("mutated rows and messages are decoded or rejected") {
  constexpr int kRounds = 2000;
  constexpr std::uint64_t kSeed = 20260105;
  using Decode = std::function<void(const std::string&)>;
  struct Case {
    std::string text;
    Decode decode;
  };
  ChangeResult result = Apply(SampleSet(), SampleChange());
  ConfigBody body;
  body.set = SampleSet();
  body.version.diff = Compare(ConfigSet(), SampleSet());
  body.version.body_hash = body.set.BodyHash();
  AdminStatus status;
  status.entries.resize(1);
  status.servers.resize(1);
  const std::vector<Case> cases = {
      {AdminCodec::EncodeChange(SampleChange()),
       [](const std::string& text) { AdminCodec::DecodeChange(text); }},
      {AdminCodec::EncodeChangeResponse(
           AdminCodec::MakeChangeResponse(result, 1)),
       [](const std::string& text) { AdminCodec::DecodeChangeResponse(text); }},
      {AdminCodec::EncodeHistory({body.version}),
       [](const std::string& text) { AdminCodec::DecodeHistory(text); }},
      {AdminCodec::EncodeStatus(status),
       [](const std::string& text) { AdminCodec::DecodeStatus(text); }},
      {AdminCodec::EncodeConfig(1, SampleSet()),
       [](const std::string& text) { AdminCodec::DecodeConfig(text); }},
      {EncodeHead({1, "00", "t"}),
       [](const std::string& text) { DecodeHead(text); }},
      {EncodeBody(body), [](const std::string& text) { DecodeBody(text); }},
  };
  base::Random random(kSeed);
  for (const Case& item : cases) {
    item.decode(item.text);
    for (int round = 0; round < kRounds; ++round) {
      std::string text = Mutate(item.text, random);
      INFO("seed " << kSeed << " round " << round << ": " << text);
      try {
        item.decode(text);
      } catch (const base::Error& error) {
        REQUIRE(error.info().code == base::ErrorCode::kInvalidRequest);
      }
    }
  }
}

}  // namespace
}  // namespace vanillalever::config
