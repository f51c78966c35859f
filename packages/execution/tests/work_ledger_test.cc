#include <catch2/catch.hpp>

#include "vanillalever/execution/work_ledger.h"

namespace vanillalever::execution {
namespace {

WorkKey Key(const std::string& token,
            bool repeatable = false,
            std::uint64_t fence = 1) {
  return {token, "i1", 0, fence, repeatable};
}

WorkResult Body(const std::string& body) {
  return {std::nullopt, body, 1};
}

// Guards against a side effect, such as a payment, that is executed twice
// because a command is delivered twice, in any state of the work.
TEST_CASE("a token runs at most once") {
  WorkLedger ledger("i1", WorkLedgerSettings());
  CHECK(ledger.Admit(Key("t")) == Admission::kAccepted);
  CHECK(ledger.Admit(Key("t")) == Admission::kOpen);
  CHECK(ledger.Start("t"));
  CHECK_FALSE(ledger.Start("t"));
  CHECK(ledger.Admit(Key("t")) == Admission::kOpen);
  CHECK(ledger.Finish("t", Body("paid")));
  CHECK_FALSE(ledger.Finish("t", Body("again")));
  CHECK(ledger.Admit(Key("t")) == Admission::kDone);
  CHECK(ledger.Result("t")->body == "paid");
  ledger.Acknowledge("t");
  ledger.Acknowledge("t");
  CHECK(ledger.Result("t") == nullptr);
  CHECK(ledger.Admit(Key("t")) == Admission::kClosed);
  CHECK(ledger.Settle(Key("t")) == Settlement::kClosed);
  CHECK(ledger.open() == 0);
  CHECK(ledger.result_bytes() == 0);
}

// Guards against a delayed command that runs after its owner has received the
// answer that the work never ran.
TEST_CASE("a revoked token never runs") {
  WorkLedger ledger("i1", WorkLedgerSettings());
  CHECK(ledger.Settle(Key("t")) == Settlement::kRevoked);
  CHECK(ledger.Settle(Key("t")) == Settlement::kRevoked);
  CHECK(ledger.Admit(Key("t")) == Admission::kRevoked);
  CHECK_FALSE(ledger.Start("t"));
  CHECK(ledger.Admit(Key("q")) == Admission::kAccepted);
  CHECK(ledger.Settle(Key("q")) == Settlement::kRunning);
  CHECK(ledger.Cancel(Key("q")) == Settlement::kRevoked);
  CHECK_FALSE(ledger.Start("q"));
  CHECK(ledger.Admit(Key("r")) == Admission::kAccepted);
  CHECK(ledger.Start("r"));
  CHECK(ledger.Cancel(Key("r")) == Settlement::kRunning);
  CHECK_FALSE(ledger.Refuse("r"));
}

// Guards against a restarted sidecar that revokes work which its previous
// incarnation has executed, so that the work runs again elsewhere.
TEST_CASE("tokens of another incarnation are neither run nor settled") {
  WorkLedger ledger("i2", WorkLedgerSettings());
  CHECK(ledger.Admit(Key("t")) == Admission::kOtherIncarnation);
  CHECK(ledger.Settle(Key("t")) == Settlement::kOtherIncarnation);
}

// Guards against delayed commands of a previous owner that run, or that revoke
// work of the current owner.
TEST_CASE("commands of a previous owner are refused") {
  WorkLedger ledger("i1", WorkLedgerSettings());
  CHECK(ledger.Admit(Key("t", false, 1)) == Admission::kAccepted);
  CHECK(ledger.Settle(Key("u", false, 2)) == Settlement::kRevoked);
  CHECK(ledger.closed() == 1);
  CHECK(ledger.Admit(Key("v", false, 1)) == Admission::kStaleFence);
  CHECK(ledger.Settle(Key("t", false, 1)) == Settlement::kStaleFence);
  CHECK(ledger.Settle(Key("t", false, 2)) == Settlement::kRunning);
  // With a third owner, the revocations of the second are discarded.
  CHECK(ledger.Settle(Key("t", false, 3)) == Settlement::kRunning);
  CHECK(ledger.closed() == 0);
  CHECK(ledger.Admit(Key("u", false, 2)) == Admission::kStaleFence);
}

// Guards against results that are never dropped because their owner ended
// between its commit and its acknowledgement.
TEST_CASE("a new owner clears the results of previous owners") {
  WorkLedger ledger("i1", WorkLedgerSettings());
  CHECK(ledger.Admit(Key("t", false, 1)) == Admission::kAccepted);
  CHECK(ledger.Start("t"));
  CHECK(ledger.Finish("t", Body("paid")));
  ledger.AcknowledgePreviousOwners(0, 1);
  CHECK(ledger.unacknowledged() == 1);
  ledger.AcknowledgePreviousOwners(0, 2);
  CHECK(ledger.unacknowledged() == 0);
  CHECK(ledger.Admit(Key("t", false, 1)) == Admission::kClosed);
}

// Guards against a sidecar that runs out of memory while the platform is
// unavailable, and against dropping a result that is not durable.
TEST_CASE("at a limit new work is refused and results are kept") {
  WorkLedgerSettings settings;
  settings.max_open = 2;
  settings.max_results = 3;
  WorkLedger ledger("i1", settings);
  CHECK(ledger.Admit(Key("a")) == Admission::kAccepted);
  CHECK(ledger.Admit(Key("b")) == Admission::kAccepted);
  CHECK(ledger.Admit(Key("c")) == Admission::kFull);
  for (const char* token : {"a", "b"}) {
    CHECK(ledger.Start(token));
    CHECK(ledger.Finish(token, Body("result")));
  }
  CHECK(ledger.Admit(Key("c")) == Admission::kAccepted);
  CHECK(ledger.Admit(Key("d")) == Admission::kFull);
  CHECK(ledger.unacknowledged() == 2);
  ledger.Acknowledge("a");
  CHECK(ledger.Admit(Key("d")) == Admission::kAccepted);
  CHECK(ledger.Result("b")->body == "result");
}

// Guards against large result bodies that exceed the memory limit although
// their number does not.
TEST_CASE("the bytes of retained results are bounded") {
  WorkLedgerSettings settings;
  settings.max_result_bytes = 10;
  WorkLedger ledger("i1", settings);
  CHECK(ledger.Admit(Key("a", true)) == Admission::kAccepted);
  CHECK(ledger.Start("a"));
  CHECK(ledger.Finish("a", Body(std::string(11, 'x'))));
  CHECK(ledger.Admit(Key("b", true)) == Admission::kFull);
  // A new owner does not know the token of repeatable work and will not
  // acknowledge it, so its result is dropped.
  CHECK(ledger.Admit(Key("b", true, 2)) == Admission::kAccepted);
  CHECK(ledger.unacknowledged() == 0);
  CHECK(ledger.Result("a") == nullptr);
}

// Guards against a revocation that is discarded while it is needed, and against
// unbounded memory for closed tokens.
TEST_CASE("closed tokens are bounded without discarding a revocation") {
  WorkLedgerSettings settings;
  settings.max_closed = 2;
  settings.max_closed_repeatable = 1;
  WorkLedger ledger("i1", settings);
  CHECK(ledger.Settle(Key("a")) == Settlement::kRevoked);
  CHECK(ledger.Settle(Key("b")) == Settlement::kRevoked);
  CHECK(ledger.Settle(Key("c")) == Settlement::kFull);
  CHECK(ledger.Admit(Key("d")) == Admission::kFull);
  CHECK(ledger.Admit(Key("a")) == Admission::kRevoked);
  CHECK(ledger.Settle(Key("e", true)) == Settlement::kRevoked);
  CHECK(ledger.Settle(Key("f", true)) == Settlement::kRevoked);
  CHECK(ledger.Admit(Key("e", true)) == Admission::kAccepted);
  CHECK(ledger.Admit(Key("f", true)) == Admission::kRevoked);
}

}  // namespace
}  // namespace vanillalever::execution
