#include <catch2/catch.hpp>

#include <string>
#include <variant>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/store_path.h"
#include "vanillalever/forwarding/table_codec.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

// Guards against a relayed write that differs from the one requested.
TEST_CASE("calls to the table are decoded as they were encoded") {
  std::vector<TableWrite> writes = {
      {{"turns", "p", "k"}, 7, std::string("v\0w", 3)},
      {{"turns", "p", "d"}, 9, std::nullopt},
      {{"turns", "p", "e"}, 0, std::string()}};
  auto call = DecodeTableCall(EncodeTableCall(writes));
  REQUIRE(call);
  const auto& decoded = std::get<std::vector<TableWrite>>(*call);
  REQUIRE(decoded.size() == 3);
  CHECK(decoded[0].name.key == "k");
  CHECK(decoded[0].expected_version == 7);
  CHECK(decoded[0].value == writes[0].value);
  CHECK_FALSE(decoded[1].value);
  REQUIRE(decoded[2].value);
  CHECK(decoded[2].value->empty());

  std::string end("k\0", 2);
  call = DecodeTableCall(EncodeTableCall(TableRange{"t", "p", "k", end}));
  REQUIRE(call);
  CHECK(std::get<TableRange>(*call).to == end);
}

// Guards against a failed relayed call that is taken for another outcome.
TEST_CASE("replies keep their outcome, and other bytes never mean success") {
  for (StoreOutcome outcome :
       {StoreOutcome::kDone, StoreOutcome::kConflict, StoreOutcome::kNotDone,
        StoreOutcome::kUnknown}) {
    TransactionResult result;
    result.outcome = outcome;
    result.version = 12;
    result.current = {{{"t", "p", "k"}, "v", 11, false}};
    result.reason.assign(3, 'r');
    auto decoded = DecodeTransactionReply(EncodeTableReply(result));
    CHECK(decoded.outcome == outcome);
    CHECK(decoded.version == 12);
    REQUIRE(decoded.current.size() == 1);
    CHECK(decoded.current.front().value == "v");
  }
  CHECK(DecodeTransactionReply("").outcome != StoreOutcome::kDone);
  CHECK(DecodeTransactionReply("\x01").outcome == StoreOutcome::kUnknown);
  CHECK(DecodeReadReply("\x01").outcome == StoreOutcome::kNotDone);
  base::Random random(3);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes;
    for (std::uint64_t k = random.Below(60); k > 0; --k)
      bytes += static_cast<char>(random.Below(256));
    DecodeTableCall(bytes);
    DecodeReadReply(bytes);
  }
}

// Guards against calls that are doubled while the store is merely slow, and
// against calls that wait for a store that ignores this gateway.
TEST_CASE("a call is overdue only while no other call succeeds") {
  StorePath path({.patience = milliseconds(50)});
  path.OnResponse(kStart);
  CHECK_FALSE(path.Overdue(kStart, kStart + milliseconds(40)));
  CHECK(path.Overdue(kStart, kStart + milliseconds(60)));
  path.OnResponse(kStart + milliseconds(30));
  CHECK_FALSE(path.Overdue(kStart, kStart + milliseconds(60)));
}

// Guards against a store that is never called directly again, or too often.
TEST_CASE("an unreachable store is probed at intervals") {
  StorePath path({.probe_interval = milliseconds(400)});
  CHECK_FALSE(path.TakeProbe(kStart));
  path.OnFailure();
  CHECK_FALSE(path.reachable());
  CHECK(path.TakeProbe(kStart));
  CHECK_FALSE(path.TakeProbe(kStart + milliseconds(300)));
  CHECK(path.TakeProbe(kStart + milliseconds(400)));
  path.OnResponse(kStart + milliseconds(410));
  CHECK(path.reachable());
  CHECK_FALSE(path.TakeProbe(kStart + milliseconds(900)));
}

// Guards against an idle gateway that does not notice an outage, so that the
// others cannot tell it from one that reaches the store.
TEST_CASE("an idle gateway checks the store, a busy one need not") {
  StorePath path({.idle_check = milliseconds(250)});
  path.OnResponse(kStart);
  CHECK_FALSE(path.IdleCheckDue(kStart + milliseconds(200)));
  CHECK(path.IdleCheckDue(kStart + milliseconds(250)));
  // At most 200 calls a second of all gateways together.
  CHECK_FALSE(path.IdleCheckDue(kStart + milliseconds(2000), 410));
  CHECK(path.IdleCheckDue(kStart + milliseconds(2050), 410));
  path.OnCall(kStart + milliseconds(250));
  CHECK_FALSE(path.IdleCheckDue(kStart + milliseconds(300)));
  path.OnCallEnded();
  path.OnFailure();
  CHECK_FALSE(path.IdleCheckDue(kStart + milliseconds(300)));
}

// Guards against a long poll that ends within an outage and hides it.
TEST_CASE("the response to a long poll says nothing of later calls") {
  StorePath path({.silence = milliseconds(250)});
  path.OnCall(kStart);
  path.OnPollResponse(kStart - milliseconds(900), kStart + milliseconds(200));
  CHECK(path.TakeSilence(kStart + milliseconds(250)));
  path.OnPollResponse(kStart - milliseconds(900), kStart + milliseconds(300));
  CHECK_FALSE(path.reachable());
  path.OnCallEnded();
  path.OnResponse(kStart + milliseconds(400));
  path.OnPollResponse(kStart + milliseconds(300), kStart + milliseconds(600));
  CHECK_FALSE(path.IdleCheckDue(kStart + milliseconds(800)));
}

// Guards against a few bytes that make a process use up its memory: this call
// of 46 bytes names millions of empty entries.
TEST_CASE("a list of empty entries is no call") {
  const std::vector<unsigned char> input{
      0x10, 0x0e, 0x50, 0x01, 0x01, 0x00, 0x00, 0x11, 0x01, 0x37, 0x0e, 0x50,
      0x01, 0x01, 0x00, 0x00, 0x11, 0x01, 0x37, 0x0e, 0x50, 0x01, 0x01, 0x00,
      0x00, 0x11, 0x01, 0x37, 0x0e, 0x50, 0x01, 0x01, 0x00, 0x00, 0x11, 0x01,
      0x37, 0x0e, 0x50, 0x01, 0x01, 0x00, 0x00, 0x11, 0x01, 0x37};
  std::string bytes(input.begin(), input.end());
  auto call = DecodeTableCall(bytes);
  CHECK_FALSE(call);
}

}  // namespace
}  // namespace vanillalever::forwarding
