// Simulates a shard's owner, its table, sidecars and callers under random
// faults and checks the guarantees that this package provides.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fake_sidecar.h"
#include "fake_table.h"
#include "program_fixture.h"
#include "vanillalever/base/random.h"
#include "vanillalever/program/program_codec.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::program {
namespace {

constexpr std::uint32_t kTurns = 6;
constexpr std::int64_t kRootBudget = 4000;
constexpr std::int64_t kChildBudget = 900;

struct Caller {
  CreateRequest create;
  ProgramId id;
  // The root of the program's tree, whose budget covers the cost.
  ProgramId root;
  std::uint32_t turn = 1;
  bool done = false;
  // Answers received, by turn.
  std::map<std::uint32_t, Answer> answers;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    for (const char* name : {"a", "b", "c"})
      sidecars_.emplace_back().name = name;
    for (int n = 0; callers_.size() < 4; ++n) {
      Caller caller;
      caller.create = MakeRequest("key-" + std::to_string(n), kRootBudget);
      caller.id = caller.root = ProgramShard::IdFor(caller.create);
      if (caller.id.shard() == 0)
        callers_.push_back(std::move(caller));
    }
    Takeover();
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i)
      FaultyStep();
    for (int round = 0; round < 400 && !Finished(); ++round)
      HealthyRound();
    CheckEnd();
  }

  // Number of faults by name, to check that the schedule exercised them.
  std::map<std::string, int> faults;

 private:
  FakeSidecar& SidecarAt(const std::string& server) {
    return *std::find_if(
        sidecars_.begin(), sidecars_.end(),
        [&server](const FakeSidecar& s) { return s.name == server; });
  }

  Caller& RandomCaller() { return callers_[random_.Below(callers_.size())]; }

  TurnRecord Turn(const Caller& caller, std::uint32_t turn) const {
    return table_.Turn(caller.id, turn, caller.create.incarnation);
  }

  // Removes and returns a random element; leaves a copy in place if
  // `duplicate`.
  template <typename Element>
  Element TakeRandom(std::vector<Element>& elements, bool duplicate) {
    std::size_t index = random_.Below(elements.size());
    Element element = elements[index];
    if (!duplicate)
      elements.erase(elements.begin() + static_cast<std::ptrdiff_t>(index));
    return element;
  }

  // Whether the named fault occurs, on average once in `odds` calls.
  bool Fault(const char* name, std::uint64_t odds) {
    bool occurs = random_.Below(odds) == 0;
    faults[name] += occurs ? 1 : 0;
    return occurs;
  }

  void FaultyStep() {
    std::uint64_t action = random_.Below(24);
    if (action < 6)
      CallerStep(RandomCaller());
    else if (action < 8)
      Dispatch();
    else if (action < 11)
      Execute(true);
    else if (action < 14)
      Deliver(true);
    else if (action < 16)
      CommitBatch(true);
    else if (action < 18)
      ResolveCommit(true);
    else if (action == 18)
      SettleAttempts(random_.Below(4) == 0);
    else if (action == 19)
      SendReleases();
    else if (action == 20)
      CreateChild();
    else if (action == 21 && Fault("takeover", 4))
      Takeover();
    else if (action == 22 && Fault("sidecar_restart", 4))
      sidecars_[random_.Below(sidecars_.size())].Restart();
    else if (action == 23 && Fault("cancel", 40))
      CodeOf([&] { owner_->Cancel(RandomCaller().id); });
  }

  void HealthyRound() {
    for (Caller& caller : callers_)
      CallerStep(caller);
    ResolveCommit(false);
    CommitBatch(false);
    Dispatch();
    while (!messages_.empty())
      Execute(false);
    while (!replies_.empty())
      Deliver(false);
    SettleAttempts(true);
    SendReleases();
    owner_->RemoveFinished();
  }

  bool Finished() const {
    return !pending_batch_ && owner_->size() == 0 &&
           std::all_of(callers_.begin(), callers_.end(),
                       [](const Caller& caller) { return caller.done; });
  }

  CallRequest CallOf(const Caller& caller) const {
    CallRequest call = MakeCall(caller.turn, caller.turn % 3 != 0);
    call.fingerprint += caller.id.text();
    return call;
  }

  void CallerStep(Caller& caller) {
    if (caller.done)
      return;
    try {
      if (caller.turn > kTurns) {
        // The caller is done once the end is durable.
        caller.done = owner_->With(caller.id, [](Program& program) {
          program.End();
          return program.durable_revision() == program.revision();
        });
        return;
      }
      Call(caller);
    } catch (const base::Error& error) {
      HandleRefusal(caller, error.info().code);
    }
  }

  void HandleRefusal(Caller& caller, base::ErrorCode code) {
    if (code == base::ErrorCode::kProgramEnded ||
        code == base::ErrorCode::kBudgetExhausted) {
      caller.turn = kTurns + 1;
    } else if (code == base::ErrorCode::kNotFound && !Stored(caller)) {
      // The owner crashed before the creation was durable. A child whose parent
      // has ended can no longer be created.
      std::string result =
          CodeOf([&] { owner_->Create(caller.create, kStart); });
      caller.done = !caller.create.parent.empty() && result != "no error";
    } else {
      // A stored program that the owner does not hold has finished.
      caller.done = code == base::ErrorCode::kNotFound;
      REQUIRE((caller.done || code == base::ErrorCode::kTurnConflict));
    }
  }

  bool Stored(const Caller& caller) const {
    return table_.rows.contains(ProgramCodec::HeadKey(caller.id));
  }

  void Call(Caller& caller) {
    CallRequest call = CallOf(caller);
    Admission admission = owner_->With(caller.id, [&](Program& program) {
      Admission result = program.Admit(call, NoLimits(), kStart);
      // The turn was just opened, or all of its attempts have failed.
      if (program.open_call() && program.attempts().empty())
        Start(program, call.turn);
      return result;
    });
    if (admission.action == AdmitAction::kRun ||
        admission.action == AdmitAction::kJoin)
      return;
    TurnRecord record =
        admission.record ? *admission.record : Turn(caller, caller.turn);
    REQUIRE(record.turn == caller.turn);
    REQUIRE(record.fingerprint == call.fingerprint);
    caller.answers[caller.turn++] = record.answer;
  }

  void Start(Program& program, std::uint32_t turn) {
    bool hedged = program.open_call()->repeatable && random_.Below(2) == 0;
    for (int i = 0; i < (hedged ? 2 : 1); ++i) {
      FakeSidecar& sidecar = sidecars_[random_.Below(sidecars_.size())];
      std::string token = "token-" + std::to_string(++tokens_);
      AttemptTarget target{sidecar.name, sidecar.incarnation(), owner_->fence(),
                           token, true};
      std::string code =
          CodeOf([&] { program.StartAttempt(turn, std::move(target)); });
      if (code != "no error") {
        REQUIRE(code == "budget_exhausted");
        if (program.attempts().empty())
          program.Withdraw(turn);
        return;
      }
    }
  }

  void CreateChild() {
    const Caller& parent = RandomCaller();
    if (callers_.size() >= 10 || parent.done)
      return;
    Caller child;
    child.create =
        MakeRequest("child-" + std::to_string(++tokens_), kChildBudget);
    child.create.parent = parent.id;
    child.root = parent.root;
    CodeOf([&] {
      child.id = owner_->Create(child.create, kStart).id;
      callers_.push_back(std::move(child));
    });
  }

  void Takeover() {
    std::optional<TransactionPlan> late;
    if (pending_batch_)
      late = pending_batch_->plan();
    pending_batch_.reset();
    ExpireLeases();
    ShardCondition condition = table_.TakeShard(0);
    owner_ = std::make_unique<ProgramShard>(condition, condition.version,
                                            ProgramShardSettings{100, 2, 8});
    std::map<ProgramId, std::vector<StoredRow>> rows;
    for (StoredRow& row : table_.List(ProgramCodec::ShardPrefix(0)))
      rows[ProgramCodec::ParseKey(row.key).id].push_back(std::move(row));
    for (const auto& [id, program_rows] : rows)
      owner_->Insert(ProgramCodec::Recover(program_rows, kStart));
    owner_->FinishRecovery();
    // The previous owner's transaction may still arrive; its shard condition
    // must fail.
    if (late)
      REQUIRE(table_.Apply(*late) == RecordBatch::ShardKey(0));
  }

  // Releases caches that no durable row lists: no owner renews their leases.
  void ExpireLeases() {
    for (FakeSidecar& sidecar : sidecars_) {
      std::erase_if(sidecar.caches, [&](const ProgramId& id) {
        ProgramHead head = table_.Head(id);
        bool intent =
            head.open && head.open->intent.target.server == sidecar.name;
        return !intent &&
               !head.holders.contains({sidecar.name, sidecar.incarnation()});
      });
    }
  }

  void Dispatch() {
    for (const ProgramId& id : owner_->ids()) {
      owner_->With(id, [&](Program& program) {
        for (const Attempt& attempt : std::vector(program.attempts())) {
          AttemptKey key = attempt.key();
          if (program.dispatch_state(key) != DispatchState::kReady)
            continue;
          program.MarkDispatched(key);
          messages_.push_back(
              {id, key, attempt.target, *program.open_call(), Answer()});
        }
      });
    }
  }

  void CommitBatch(bool faulty) {
    RecordBatch batch({.max_rows = 8}, "tx-" + std::to_string(++tokens_));
    if (pending_batch_ || owner_->Collect(batch, kStart) == 0)
      return;
    if (faulty && Fault("refused_commit", 4)) {
      owner_->CommitRejected(batch);
      return;
    }
    pending_batch_ = std::move(batch);
    ResolveCommit(faulty);
  }

  // Sends or resends the pending transaction. A conflict can only be caused by
  // the transaction itself if its response was lost.
  void ResolveCommit(bool faulty) {
    if (!pending_batch_ || (faulty && Fault("lost_commit", 4)))
      return;
    bool conflict = table_.Apply(pending_batch_->plan()).has_value();
    if (faulty && Fault("lost_commit_answer", 4))
      return;
    const FakeTable::Row& row = table_.rows.at(pending_batch_->ReadBackKey());
    REQUIRE((!conflict || row.token == pending_batch_->token()));
    owner_->CommitApplied(*pending_batch_, row.version);
    pending_batch_.reset();
  }

  // Queries the sidecars about open non-repeatable attempts; with `all` also
  // about repeatable ones.
  void SettleAttempts(bool all) {
    for (const ProgramId& id : owner_->ids()) {
      owner_->With(id, [&](Program& program) {
        for (const Attempt& attempt : std::vector(program.attempts())) {
          if (attempt.dispatched && (all || !attempt.repeatable))
            Settle(program, attempt);
        }
        if (program.open_call() && program.attempts().empty() &&
            random_.Below(2) == 0)
          program.Withdraw(program.open_call()->turn);
      });
    }
  }

  void Settle(Program& program, const Attempt& attempt) {
    ++faults["settle"];
    const AttemptTarget& target = attempt.target;
    auto [outcome, answer] =
        SidecarAt(target.server).Settle(target, owner_->fence());
    REQUIRE(program.Settle(attempt.key(), outcome, answer));
  }

  void SendReleases() {
    for (const auto& [id, holder] : owner_->PendingReleases()) {
      FakeSidecar& sidecar = SidecarAt(holder.server);
      if (sidecar.incarnation() == holder.sidecar_incarnation)
        sidecar.Release(id);
      if (Fault("lost_release", 4))
        continue;
      owner_->With(id, [&, held = holder](Program& program) {
        program.ReleaseAcknowledged(held);
      });
    }
  }

  void Execute(bool faulty) {
    if (messages_.empty())
      return;
    FakeMessage message =
        TakeRandom(messages_, faulty && Fault("doubled_request", 8));
    FakeSidecar& sidecar = SidecarAt(message.target.server);
    auto run = [&] { return RunWork(sidecar, message); };
    auto answer = sidecar.Execute(message.program, message.target, run);
    if (!answer)
      return;
    message.answer = *answer;
    replies_.push_back(std::move(message));
  }

  Answer RunWork(FakeSidecar& sidecar, const FakeMessage& message) {
    Answer answer = MakeAnswer(message.program.text() + message.key.work_token,
                               static_cast<std::int64_t>(random_.Below(101)));
    // The cache of work sent by a previous owner is released when its lease
    // expires.
    if (message.target.fence == owner_->fence())
      sidecar.caches.insert(message.program);
    cost_[message.program] += answer.cost;
    if (!message.call.repeatable)
      ++runs_[{message.program, message.call.turn}];
    // Recovery after a crash would count spent + held as spent; that must
    // include the cost so far.
    BudgetSnapshot stored = table_.Head(message.program).budget;
    REQUIRE(cost_[message.program] <= stored.spent + stored.held);
    return answer;
  }

  void Deliver(bool faulty) {
    if (replies_.empty())
      return;
    auto [id, key, target, call, answer] =
        TakeRandom(replies_, faulty && Fault("doubled_answer", 4));
    if (faulty && Fault("crossed_answer", 8)) {
      AttemptKey misrouted{key.turn + 1, key.attempt, key.work_token};
      REQUIRE(owner_->Accept(id, misrouted, answer) == AnswerMatch::kDropped);
      const ProgramId& other = RandomCaller().id;
      if (other != id)
        REQUIRE(owner_->Accept(other, key, answer) == AnswerMatch::kDropped);
    }
    owner_->Accept(id, key, answer);
  }

  void CheckEnd() {
    REQUIRE(Finished());
    for (const auto& [run, count] : runs_)
      REQUIRE(count == 1);
    for (const FakeSidecar& sidecar : sidecars_)
      REQUIRE(sidecar.caches.empty());
    std::map<ProgramId, std::int64_t> tree_cost;
    for (const Caller& caller : callers_)
      tree_cost[caller.root] += cost_[caller.id];
    for (const auto& [root, cost] : tree_cost)
      REQUIRE(cost <= kRootBudget);
    for (const Caller& caller : callers_)
      CheckHistory(caller);
  }

  // The stored history is complete and matches the answers that the caller
  // received.
  void CheckHistory(const Caller& caller) const {
    if (!Stored(caller)) {
      REQUIRE(caller.answers.empty());
      return;
    }
    ProgramHead head = table_.Head(caller.id);
    REQUIRE(head.state != ProgramState::kRunning);
    REQUIRE(head.budget.held == 0);
    REQUIRE(head.budget.shared == 0);
    REQUIRE(caller.answers.size() <= head.last_turn);
    for (std::uint32_t turn = 1; turn <= head.last_turn; ++turn) {
      TurnRecord record = Turn(caller, turn);
      if (record.answer.outcome == TurnOutcome::kDone) {
        REQUIRE(record.answer.body.starts_with(caller.id.text()));
        REQUIRE((turn % 3 != 0 || runs_.at({caller.id, turn}) == 1));
      }
      auto received = caller.answers.find(turn);
      if (received != caller.answers.end())
        REQUIRE(received->second == record.answer);
    }
  }

  base::Random random_;
  FakeTable table_;
  std::vector<FakeSidecar> sidecars_;
  std::vector<Caller> callers_;
  std::unique_ptr<ProgramShard> owner_;
  // Batch whose commit has no certain result yet.
  std::optional<RecordBatch> pending_batch_;
  std::vector<FakeMessage> messages_;
  std::vector<FakeMessage> replies_;
  // Number of tokens generated.
  std::uint64_t tokens_ = 0;
  // Actual cost of the work that ran, in tokens.
  std::map<ProgramId, std::int64_t> cost_;
  // Number of runs of non-repeatable turns.
  std::map<std::pair<ProgramId, std::uint32_t>, int> runs_;
};

// Guards against turns that run out of order, answers that are lost or
// misrouted, non-repeatable calls that run twice, costs above the budget and
// caches that are never released. Faults: takeovers, lost commits and
// responses, sidecar restarts, and duplicate, late and misrouted messages.
TEST_CASE("programs survive random faults in order and within budget") {
  std::map<std::string, int> faults;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed);
    simulation.Run(600);
    for (const auto& [name, count] : simulation.faults)
      faults[name] += count;
  }
  CHECK(faults.size() == 11);
  for (const auto& [name, count] : faults) {
    CAPTURE(name);
    CHECK(count >= 100);
  }
}

}  // namespace
}  // namespace vanillalever::program
