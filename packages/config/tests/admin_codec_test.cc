#include <string>

#include <catch2/catch.hpp>

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

// Guards against an entry and a tool that read a change set differently.
TEST_CASE("a change request survives encoding and decoding") {
  DecodedChange decoded =
      AdminCodec::DecodeChange(AdminCodec::EncodeChange(SampleChange()));
  CHECK(decoded.errors.empty());
  CHECK(decoded.change == SampleChange());
}

// Guards against a refused change whose causes do not reach the operator.
TEST_CASE("a refusal carries its errors and conflicts") {
  ChangeResult result;
  result.errors = {{"pool/a", "place", "a declared object"}};
  result.conflicts = {{Kind::kPool, "a"}};
  ChangeAnswer answer = AdminCodec::DecodeChangeAnswer(
      AdminCodec::EncodeChangeAnswer(AdminCodec::AnswerFor(result, 9)));
  REQUIRE(answer.error);
  CHECK(answer.error->code == base::ErrorCode::kConflict);
  CHECK(answer.errors == result.errors);
  CHECK(answer.conflicts == result.conflicts);
  CHECK(answer.version == 9);
}

// Guards against an audit trail that loses a field on its way to the tool.
TEST_CASE("history survives encoding and decoding") {
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

// Guards against a status field that only one side knows.
TEST_CASE("status survives encoding and decoding") {
  AdminStatus status;
  status.version = 4;
  status.entries = {{"e1", "127.0.0.1:1", "a", 2, 30, 4, true}};
  status.servers = {{"desk", "127.0.0.1:2", "a", "s1", "live", 4, 500, 2, 1,
                     1.5, std::chrono::milliseconds(80)}};
  CHECK(AdminCodec::DecodeStatus(AdminCodec::EncodeStatus(status)) == status);
}

}  // namespace
}  // namespace vanillalever::config
