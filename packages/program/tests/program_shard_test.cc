#include "vanillalever/program/program_shard.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fake_table.h"
#include "program_fixture.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::program {
namespace {

// A shard that owns the program of the key "root".
struct Fixture {
  ProgramId root = ProgramShard::IdFor(MakeRequest("root"));
  FakeTable table;
  ShardCondition condition = table.TakeShard(root.shard());
  ProgramShard shard{condition, 1, {0, 2, 4}};

  CreateRequest Child(const std::string& key, std::int64_t budget = 300) const {
    CreateRequest request = MakeRequest(key, budget);
    request.parent = root;
    return request;
  }

  ProgramId Create(const CreateRequest& request) {
    return shard.Create(request, kStart).id;
  }

  RecordBatch Collect(RecordBatchSettings settings = {}) {
    RecordBatch batch(settings, "tx");
    shard.Collect(batch, kStart);
    return batch;
  }

  void Commit() {
    RecordBatch batch = Collect();
    REQUIRE_FALSE(table.Apply(batch.plan()));
    shard.CommitApplied(batch, table.version);
  }

  std::int64_t Available() {
    return shard.With(
        root, [](Program& program) { return program.budget().available(); });
  }
};

ProgramState StateOf(ProgramShard& shard, const ProgramId& id) {
  return shard.With(id, [](Program& program) { return program.state(); });
}

// Guards against a second program when a create is retried after its response
// was lost.
TEST_CASE("a repeated create returns the same program") {
  Fixture f;
  CreateResult first = f.shard.Create(MakeRequest("root"), kStart);
  CHECK(first.created);
  CreateRequest again = MakeRequest("root");
  again.incarnation = "life-2";
  CreateResult second = f.shard.Create(again, kStart);
  CHECK_FALSE(second.created);
  CHECK(second.id == first.id);
  again.budget = 999;
  CHECK(CodeOf([&] { f.Create(again); }) == "conflict");
  again.default_budget = true;
  CHECK(f.Create(again) == first.id);
  again.program_class = "other";
  CHECK(CodeOf([&] { f.Create(again); }) == "conflict");
  CHECK(CodeOf([&] { f.Create(MakeRequest("")); }) == "invalid_request");
  CHECK(CodeOf([&] { f.Create(MakeRequest("\xff")); }) == "invalid_request");
  CHECK(CodeOf([&] { f.Create(MakeRequest("root", 0)); }) == "invalid_request");
  CHECK(CodeOf([&] { f.Create(MakeRequest("lot-1")); }) == "not_owner");
  CHECK(f.Collect().rows() == 3);
}

// Guards against a share that is allocated without its child or twice.
TEST_CASE("a child and its parent commit in one transaction") {
  Fixture f;
  f.Create(MakeRequest("root"));
  f.Commit();
  CreateRequest foreign = f.Child("child");
  foreign.organisation = "tan";
  CHECK(CodeOf([&] { f.Create(foreign); }) == "forbidden");
  CHECK(CodeOf([&] { f.Create(f.Child("child", 1001)); }) ==
        "budget_exhausted");
  ProgramId child = f.Create(f.Child("child"));
  CHECK(f.Create(f.Child("child")) == child);
  CHECK(f.Available() == 700);
  // A batch contains both or neither, even if they exceed its size limit.
  RecordBatch batch = f.Collect({.max_rows = 1});
  CHECK(batch.programs(f.root.shard()).size() == 2);
  // A child created during the commit waits for the parent's next one.
  ProgramId second = f.Create(f.Child("second"));
  CHECK(f.Collect().empty());
  f.shard.CommitRejected(batch);
  CHECK(f.Collect({.max_rows = 1}).programs(f.root.shard()).size() == 3);
  CHECK(child != second);
}

// Guards against budget that stays allocated to an ended child, and against an
// unbounded number of children in one transaction.
TEST_CASE("a settled child returns its budget") {
  Fixture f;
  f.Create(MakeRequest("root"));
  f.Commit();
  ProgramId child = f.Create(f.Child("child"));
  f.Create(f.Child("b", 10));
  f.Create(f.Child("c", 10));
  CHECK(CodeOf([&] { f.Create(f.Child("d", 10)); }) == "overloaded");
  f.Commit();
  f.shard.With(child, [](Program& program) {
    RunTurn(program, 1);
    program.End();
  });
  CHECK(f.Available() == 1000 - 40 - 20);
  CHECK(CodeOf([&] {
          f.shard.With(f.root, [](Program& program) { program.End(); });
        }) == "turn_conflict");
  RecordBatch batch = f.Collect();
  CHECK(batch.programs(f.root.shard()).size() == 2);
}

// Guards against descendants that keep running after their parent was
// cancelled, also when the owner crashes between their commits.
TEST_CASE("cancel reaches all descendants") {
  Fixture f;
  f.Create(MakeRequest("root"));
  CreateRequest grandchild = MakeRequest("grandchild", 100);
  grandchild.parent = f.Create(f.Child("child"));
  ProgramId last = f.Create(grandchild);
  f.Commit();
  f.shard.Cancel(f.root);
  CHECK(StateOf(f.shard, last) == ProgramState::kCancelled);
  CHECK(f.Available() == 1000);
  f.Commit();
  CHECK(f.shard.RemoveFinished().size() == 3);

  Fixture g;
  g.Create(MakeRequest("root"));
  ProgramId child = g.Create(g.Child("child"));
  g.Commit();
  ProgramShard next(g.condition, 2, {});
  for (const ProgramId& id : {g.root, child}) {
    std::string key = ProgramCodec::HeadKey(id);
    Program program = ProgramCodec::Recover(
        {{key, g.table.rows.at(key).value, g.table.version}}, kStart);
    if (id == g.root)
      program.Cancel();
    next.Insert(std::move(program));
  }
  next.FinishRecovery();
  CHECK(StateOf(next, child) == ProgramState::kCancelled);
}

// Guards against a transaction that grows with the number of children.
TEST_CASE("budgets of many ended children are returned in bounded commits") {
  Fixture f;
  f.Create(MakeRequest("root"));
  f.Commit();
  for (int n = 0; n < 9; ++n) {
    f.Create(f.Child(std::to_string(n), 10));
    f.Commit();
  }
  f.shard.Cancel(f.root);
  CHECK(f.Available() < 1000);
  for (int commits = 0; f.Available() < 1000; ++commits) {
    REQUIRE(commits < 5);
    RecordBatch batch = f.Collect({.max_rows = 1});
    REQUIRE(batch.programs(f.root.shard()).size() <= 4);
    REQUIRE_FALSE(f.table.Apply(batch.plan()));
    f.shard.CommitApplied(batch, f.table.version);
  }
  f.Commit();
  CHECK(f.shard.RemoveFinished().size() == 10);
}

// Guards against a conflict on one program that loses the changes of others or
// leaves the share of a child allocated that was never stored.
TEST_CASE("after a conflict the remaining changes are committed again") {
  Fixture f;
  f.Create(MakeRequest("root"));
  f.Commit();
  ProgramId child = f.Create(f.Child("child"));
  f.table.rows[ProgramCodec::HeadKey(child)] = {"{}", 99, "other"};
  RecordBatch batch = f.Collect();
  std::optional<std::string> conflict = f.table.Apply(batch.plan());
  CHECK(batch.FindConflictSource(*conflict).program == child);
  f.shard.CommitRejected(batch);
  f.shard.Remove(child);
  CHECK(f.Available() == 1000);
  f.Commit();
  CHECK(f.shard.changed() == 0);
}

// Guards against a previous owner that answers calls after losing the shard.
TEST_CASE("a dropped shard refuses all operations") {
  Fixture f;
  f.Create(MakeRequest("root"));
  RecordBatch batch = f.Collect();
  f.shard.Drop();
  CHECK(CodeOf([&] { f.shard.CommitApplied(batch, 1); }) == "not_owner");
  CHECK(CodeOf([&] { f.shard.With(f.root, [](Program&) {}); }) == "not_owner");
  CHECK(CodeOf([&] { f.Create(MakeRequest("root")); }) == "not_owner");
  f.shard.CommitRejected(batch);
  CHECK(f.shard.size() == 0);
}

// Guards against data races between callers and the commit loop; needs the
// thread sanitizer to detect them.
TEST_CASE("callers and the commit loop use a shard concurrently") {
  Fixture f;
  f.Create(MakeRequest("root", 1'000'000));
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int n = 0; n < 4; ++n) {
    callers.emplace_back([&f, &stop, n] {
      for (int i = 0; !stop; ++i) {
        std::string key = std::to_string(n) + "-" + std::to_string(i % 50);
        CodeOf([&] { f.Create(f.Child(key, 1)); });
        CodeOf([&] {
          f.shard.With(ProgramShard::IdFor(f.Child(key, 1)),
                       [](Program& program) { program.End(); });
        });
      }
    });
  }
  for (int i = 0; i < 300; ++i) {
    RecordBatch batch = f.Collect();
    if (auto conflict = f.table.Apply(batch.plan())) {
      // The key was reused after its program had finished and was removed.
      f.shard.CommitRejected(batch);
      f.shard.Remove(*batch.FindConflictSource(*conflict).program);
    } else {
      f.shard.CommitApplied(batch, f.table.version);
    }
    f.shard.RemoveFinished();
  }
  stop = true;
  for (std::thread& caller : callers)
    caller.join();
  CHECK(f.Available() <= 1'000'000);
}

// --- Recovery at every step --------------------------------------------------

// Steps of one call.
constexpr int kSteps = 8;

void StoreCommit(const ProgramCommit& commit,
                 const ShardCondition& condition,
                 FakeTable& table,
                 Program& program) {
  RecordBatch batch({}, "tx");
  batch.Add(condition, {ProgramCodec::EncodeChange(commit)});
  REQUIRE_FALSE(table.Apply(batch.plan()));
  program.CommitApplied(table.version);
}

// Runs the first `steps` steps of a call and returns the cost incurred.
std::int64_t RunSteps(Program& program,
                      const ShardCondition& condition,
                      FakeTable& table,
                      bool repeatable,
                      int steps) {
  ProgramCommit commit;
  AttemptKey key;
  auto begin = [&] { commit = program.BeginCommit(kStart); };
  auto apply = [&] { StoreCommit(commit, condition, table, program); };
  std::int64_t cost = 0;
  const std::function<void()> actions[kSteps] = {
      [&] { program.Admit(MakeCall(1, repeatable), NoLimits(), kStart); },
      [&] { key = program.StartAttempt(1, MakeTarget("t1")); },
      begin,
      apply,
      [&] {
        program.MarkDispatched(key);
        cost = 40;
      },
      [&] { program.Accept(key, MakeAnswer("paid", cost)); },
      begin,
      apply};
  for (int i = 0; i < steps; ++i)
    actions[i]();
  return cost;
}

// Guards against an owner crash after any step of a call: the next owner must
// run, join or answer the repeated call without losing a durable answer,
// running a non-repeatable call twice or undercounting the cost.
TEST_CASE("recovery at every step of a call") {
  for (bool repeatable : {true, false}) {
    for (int steps = 0; steps <= kSteps; ++steps) {
      CAPTURE(repeatable, steps);
      FakeTable table;
      Program first(MakeSpec(), kStart, 0);
      std::uint32_t shard = first.id().shard();
      ShardCondition condition = table.TakeShard(shard);
      StoreCommit(first.BeginCommit(kStart), condition, table, first);
      std::int64_t cost = RunSteps(first, condition, table, repeatable, steps);

      Program next = ProgramCodec::Recover(
          table.List(ProgramCodec::ShardPrefix(shard)), kStart);
      const BudgetLedger& budget = next.budget();
      CHECK(budget.spent() + budget.reserved() >= cost);
      Admission repeat =
          next.Admit(MakeCall(1, repeatable), NoLimits(), kStart);
      bool intent_stored = !repeatable && steps >= 4 && steps < kSteps;
      if (steps == kSteps) {
        CHECK(repeat.action == AdmitAction::kAnswer);
        CHECK(repeat.record->answer.body == "paid");
      } else if (intent_stored) {
        CHECK(repeat.action == AdmitAction::kJoin);
        REQUIRE(next.open_intents().size() == 1);
        AttemptKey key = next.open_intents().front().key();
        CHECK(next.Accept(key, MakeAnswer("paid", 40)) ==
              AnswerMatch::kEndedTurn);
        // The intent is charged at its actual cost; only the allowance is lost.
        CHECK(budget.spent() == 140);
      } else {
        CHECK(repeat.action == AdmitAction::kRun);
      }
    }
  }
}

}  // namespace
}  // namespace vanillalever::program
