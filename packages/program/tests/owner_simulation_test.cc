// Steps a shard's owner, its table, sidecars and callers through random faults
// and checks the promises that rest on this package.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fake_table.h"
#include "program_fixture.h"
#include "vanillalever/base/random.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::program {
namespace {

constexpr std::uint32_t kTurns = 6;
constexpr std::int64_t kRootBudget = 4000;
constexpr std::int64_t kChildBudget = 900;

// A server's sidecar: runs each work token at most once.
struct Sidecar {
  std::string name;
  int incarnation = 1;
  // Highest fencing token seen.
  std::uint64_t fence = 0;
  // Results by work token; nothing for a revoked token.
  std::map<std::string, std::optional<Answer>> work;
  std::set<ProgramId> caches;
  std::set<ProgramId> released;

  std::string incarnation_text() const {
    return name + "#" + std::to_string(incarnation);
  }
};

struct Message {
  ProgramId program;
  AttemptKey key;
  AttemptTarget target;
  CallRequest call;
};

struct Reply {
  ProgramId program;
  AttemptKey key;
  Answer answer;
};

struct Caller {
  CreateRequest create;
  ProgramId id;
  std::uint32_t turn = 1;
  bool done = false;
  // Final answers by turn.
  std::map<std::uint32_t, Answer> answers;
};

CreateRequest MakeRequest(const std::string& key, std::int64_t budget) {
  CreateRequest request;
  request.organisation = "casca";
  request.program_class = "review";
  request.key = key;
  request.budget = budget;
  request.incarnation = "life-of-" + key;
  return request;
}

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    for (const char* name : {"a", "b", "c"})
      sidecars_.emplace_back().name = name;
    for (int n = 0; callers_.size() < 4; ++n) {
      Caller caller;
      caller.create = MakeRequest("key-" + std::to_string(n), kRootBudget);
      caller.id = ProgramShard::IdFor(caller.create);
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

  // Faults that occurred, to show that the schedule exercised them.
  std::map<std::string, int> faults;

 private:
  Sidecar& AnySidecar() { return sidecars_[random_.Below(sidecars_.size())]; }

  Sidecar& SidecarOf(const AttemptTarget& target) {
    return *std::find_if(
        sidecars_.begin(), sidecars_.end(),
        [&target](const Sidecar& s) { return s.name == target.server; });
  }

  void FaultyStep() {
    switch (random_.Below(24)) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
      case 5:
        CallerStep(callers_[random_.Below(callers_.size())]);
        break;
      case 6:
      case 7:
        Dispatch();
        break;
      case 8:
      case 9:
      case 10:
        Execute(true);
        break;
      case 11:
      case 12:
      case 13:
        Deliver(true);
        break;
      case 14:
      case 15:
        CommitSome(random_.Below(3));
        break;
      case 16:
      case 17:
        ResolveCommit();
        break;
      case 18:
        SettleSome(random_.Below(4) == 0);
        break;
      case 19:
        SendReleases();
        break;
      case 20:
        if (random_.Below(4) == 0)
          Takeover();
        break;
      case 21:
        if (random_.Below(4) == 0)
          RestartSidecar();
        break;
      case 22:
        CreateChild();
        break;
      default:
        if (random_.Below(40) == 0) {
          ++faults["cancel"];
          const ProgramId& id = callers_[random_.Below(callers_.size())].id;
          CodeOf([&] { owner_->Cancel(id); });
        }
    }
  }

  void HealthyRound() {
    for (Caller& caller : callers_)
      CallerStep(caller);
    ResolveCommit();
    CommitSome(0);
    Dispatch();
    while (!messages_.empty())
      Execute(false);
    while (!replies_.empty())
      Deliver(false);
    SettleSome(true);
    SendReleases();
    owner_->RemoveFinished();
  }

  bool Finished() const {
    return !pending_ && owner_->size() == 0 &&
           std::all_of(callers_.begin(), callers_.end(),
                       [](const Caller& caller) { return caller.done; });
  }

  // --- Callers ---

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
        // The caller counts the program as ended once that is durable.
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
    } else if (code == base::ErrorCode::kNotFound) {
      // An owner that died before the creation was durable, or a program that
      // is finished.
      if (table_.rows.contains(ProgramCodec::HeadKey(caller.id)))
        caller.done = true;
      else
        CodeOf([&] { owner_->Create(caller.create, kStart); });
      // A child whose parent has ended can no longer be created.
      if (!caller.create.parent.empty() && !HasProgram(caller.id))
        caller.done = true;
    } else {
      REQUIRE(code == base::ErrorCode::kTurnConflict);
    }
  }

  bool HasProgram(const ProgramId& id) const {
    std::vector<ProgramId> ids = owner_->ids();
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  }

  void Call(Caller& caller) {
    CallRequest call = CallOf(caller);
    Admission admission = owner_->With(caller.id, [&](Program& program) {
      Admission result = program.Admit(call, NoLimits(), kStart);
      bool idle = program.open_call() && program.attempts().empty();
      if (result.action == AdmitAction::kRun ||
          (result.action == AdmitAction::kJoin && idle))
        Start(program, call.turn);
      return result;
    });
    if (admission.action == AdmitAction::kAnswer)
      Receive(caller, *admission.record);
    if (admission.action == AdmitAction::kReadHistory) {
      std::string key = ProgramCodec::TurnKey(caller.id, caller.turn);
      TurnRecord record = ProgramCodec::DecodeTurn(
          key, table_.rows.at(key).value, caller.create.incarnation);
      CheckRepeat(call, record);
      Receive(caller, record);
    }
  }

  void Start(Program& program, std::uint32_t turn) {
    bool hedged = program.open_call()->repeatable && random_.Below(2) == 0;
    for (int i = 0; i < (hedged ? 2 : 1); ++i) {
      Sidecar& sidecar = AnySidecar();
      std::string token = "token-" + std::to_string(++tokens_);
      AttemptTarget target{sidecar.name, sidecar.incarnation_text(),
                           owner_->fence(), token, true};
      std::string code =
          CodeOf([&] { program.StartAttempt(turn, std::move(target)); });
      if (code != "no error") {
        REQUIRE(code == "budget_exhausted/not_run");
        if (program.attempts().empty())
          program.Withdraw(turn);
        return;
      }
    }
  }

  void Receive(Caller& caller, const TurnRecord& record) {
    REQUIRE(record.turn == caller.turn);
    REQUIRE(record.fingerprint == CallOf(caller).fingerprint);
    caller.answers[record.turn] = record.answer;
    ++caller.turn;
  }

  void CreateChild() {
    const Caller& parent = callers_[random_.Below(callers_.size())];
    if (callers_.size() >= 10 || parent.done)
      return;
    Caller child;
    child.create =
        MakeRequest("child-" + std::to_string(++tokens_), kChildBudget);
    child.create.parent = parent.id;
    try {
      child.id = owner_->Create(child.create, kStart).id;
      callers_.push_back(std::move(child));
    } catch (const base::Error&) {
    }
  }

  // --- Owner ---

  void Takeover() {
    if (owner_) {
      ++faults["takeover"];
      // The old owner's transaction may still arrive; its condition fails.
      if (pending_ && random_.Below(2) == 0)
        late_.push_back(pending_->plan());
      pending_.reset();
      ExpireLeases();
    }
    ShardCondition condition = table_.TakeShard(0);
    owner_ = std::make_unique<ProgramShard>(condition, condition.version,
                                            ProgramShardSettings{100, 2, 8});
    std::map<ProgramId, std::vector<StoredRow>> rows;
    for (StoredRow& row : table_.List(ProgramCodec::ShardPrefix(0)))
      rows[ProgramCodec::ParseKey(row.key).id].push_back(std::move(row));
    for (const auto& [id, program_rows] : rows)
      owner_->Insert(ProgramCodec::Recover(program_rows, kStart));
    owner_->FinishRecovery();
    for (const TransactionPlan& plan : late_)
      REQUIRE(table_.Apply(plan) == RecordBatch::ShardKey(0));
    late_.clear();
  }

  // Caches that no durable row names are released when nobody renews their
  // lease.
  void ExpireLeases() {
    for (Sidecar& sidecar : sidecars_) {
      std::erase_if(sidecar.caches, [&](const ProgramId& id) {
        std::string key = ProgramCodec::HeadKey(id);
        ProgramHead head =
            ProgramCodec::DecodeHead(key, table_.rows.at(key).value);
        bool intent =
            head.open && head.open->intent.target.server == sidecar.name;
        return !intent && !head.holders.contains(
                              {sidecar.name, sidecar.incarnation_text()});
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
          messages_.push_back({id, key, attempt.target, *program.open_call()});
        }
      });
    }
  }

  // `fault`: 0 none, 1 response lost after, 2 request lost before the write.
  void CommitSome(std::uint64_t fault) {
    if (pending_)
      return;
    RecordBatch batch({.max_rows = 8}, "tx-" + std::to_string(++tokens_));
    if (owner_->Collect(batch, kStart) == 0)
      return;
    pending_ = std::move(batch);
    if (fault == 0) {
      ResolveCommit();
    } else if (fault == 1) {
      ++faults["lost_commit_answer"];
      REQUIRE_FALSE(table_.Apply(pending_->plan()));
    } else {
      ++faults["lost_commit"];
    }
  }

  // Sends the transaction again until its result is certain.
  void ResolveCommit() {
    if (!pending_)
      return;
    std::uint64_t version = 0;
    if (table_.Apply(pending_->plan())) {
      const FakeTable::Row& row = table_.rows.at(pending_->ReadBackKey());
      REQUIRE(row.token == pending_->token());
      version = row.version;
    } else {
      version = table_.version;
    }
    owner_->Applied(*pending_, version);
    pending_.reset();
  }

  // Asks the sidecars about open attempts; with `all` also about repeatable
  // ones.
  void SettleSome(bool all) {
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
    Sidecar& sidecar = SidecarOf(attempt.target);
    if (sidecar.incarnation_text() != attempt.target.sidecar_incarnation) {
      program.AttemptLost(attempt.key());
      return;
    }
    sidecar.fence = std::max(sidecar.fence, owner_->fence());
    auto [work, revoked] =
        sidecar.work.emplace(attempt.target.work_token, std::nullopt);
    if (work->second)
      program.Accept(attempt.key(), *work->second);
    else
      program.AttemptNotRun(attempt.key());
  }

  void SendReleases() {
    for (const auto& [id, holder] : owner_->PendingReleases()) {
      Sidecar& sidecar = SidecarOf({holder.server, "", 0, "", true});
      if (sidecar.incarnation_text() == holder.sidecar_incarnation) {
        sidecar.caches.erase(id);
        sidecar.released.insert(id);
      }
      // One acknowledgement in four is lost.
      if (random_.Below(4) > 0) {
        owner_->With(id, [&, held = holder](Program& program) {
          program.ReleaseAcknowledged(held);
        });
      }
    }
  }

  // --- Sidecars ---

  void Execute(bool faulty) {
    if (messages_.empty())
      return;
    std::size_t index = random_.Below(messages_.size());
    Message message = messages_[index];
    bool doubled = faulty && random_.Below(8) == 0;
    if (doubled)
      ++faults["doubled_request"];
    else
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    Sidecar& sidecar = SidecarOf(message.target);
    bool stale =
        sidecar.incarnation_text() != message.target.sidecar_incarnation ||
        message.target.fence < sidecar.fence ||
        sidecar.released.contains(message.program);
    if (stale)
      return;
    sidecar.fence = message.target.fence;
    auto [work, fresh] =
        sidecar.work.emplace(message.target.work_token, std::nullopt);
    if (fresh)
      work->second = RunWork(sidecar, message);
    if (work->second)
      replies_.push_back({message.program, message.key, *work->second});
  }

  Answer RunWork(Sidecar& sidecar, const Message& message) {
    Answer answer = MakeAnswer(message.program.text() + message.key.work_token,
                               static_cast<std::int64_t>(random_.Below(101)));
    // The cache of work that a previous owner sent ends with its lease.
    if (message.target.fence == owner_->fence())
      sidecar.caches.insert(message.program);
    cost_[message.program] += answer.cost;
    if (!message.call.repeatable)
      ++runs_[{message.program, message.call.turn}];
    // What a crash at this moment would count as spent.
    std::string key = ProgramCodec::HeadKey(message.program);
    ProgramHead head = ProgramCodec::DecodeHead(key, table_.rows.at(key).value);
    REQUIRE(cost_[message.program] <= head.budget.spent + head.budget.held);
    return answer;
  }

  void RestartSidecar() {
    ++faults["sidecar_restart"];
    Sidecar& sidecar = AnySidecar();
    ++sidecar.incarnation;
    sidecar.work.clear();
    sidecar.caches.clear();
    sidecar.released.clear();
  }

  void Deliver(bool faulty) {
    if (replies_.empty())
      return;
    std::size_t index = random_.Below(replies_.size());
    Reply reply = replies_[index];
    if (faulty && random_.Below(4) == 0)
      ++faults["doubled_answer"];
    else
      replies_.erase(replies_.begin() + static_cast<std::ptrdiff_t>(index));
    if (faulty && random_.Below(8) == 0) {
      ++faults["crossed_answer"];
      Reply crossed = reply;
      crossed.key.turn += 1;
      REQUIRE(owner_->Accept(crossed.program, crossed.key, crossed.answer) ==
              AnswerMatch::kDropped);
      const ProgramId& other = callers_[random_.Below(callers_.size())].id;
      if (other != reply.program) {
        REQUIRE(owner_->Accept(other, reply.key, reply.answer) ==
                AnswerMatch::kDropped);
      }
    }
    owner_->Accept(reply.program, reply.key, reply.answer);
  }

  // --- Checks ---

  void CheckEnd() {
    REQUIRE(Finished());
    for (const auto& [run, count] : runs_)
      REQUIRE(count == 1);
    for (const Sidecar& sidecar : sidecars_)
      REQUIRE(sidecar.caches.empty());
    std::map<ProgramId, std::int64_t> tree_cost;
    for (const auto& [id, cost] : cost_)
      tree_cost[RootOf(id)] += cost;
    for (const auto& [root, cost] : tree_cost)
      REQUIRE(cost <= kRootBudget);
    for (const Caller& caller : callers_)
      CheckHistory(caller);
  }

  const Caller& CallerOf(const ProgramId& id) const {
    return *std::find_if(callers_.begin(), callers_.end(),
                         [&id](const Caller& c) { return c.id == id; });
  }

  ProgramId RootOf(const ProgramId& id) const {
    const Caller& caller = CallerOf(id);
    return caller.create.parent.empty() ? id : RootOf(caller.create.parent);
  }

  // The stored history is complete and holds what the caller was told.
  void CheckHistory(const Caller& caller) const {
    std::string head_key = ProgramCodec::HeadKey(caller.id);
    auto row = table_.rows.find(head_key);
    if (row == table_.rows.end()) {
      REQUIRE(caller.answers.empty());
      return;
    }
    ProgramHead head = ProgramCodec::DecodeHead(head_key, row->second.value);
    REQUIRE(head.state != ProgramState::kRunning);
    REQUIRE(head.budget.held == 0);
    REQUIRE(head.budget.shared == 0);
    REQUIRE(cost_.count(caller.id) <= 1);
    REQUIRE(caller.answers.size() <= head.last_turn);
    for (std::uint32_t turn = 1; turn <= head.last_turn; ++turn) {
      std::string key = ProgramCodec::TurnKey(caller.id, turn);
      TurnRecord record = ProgramCodec::DecodeTurn(
          key, table_.rows.at(key).value, head.spec.incarnation);
      bool done = record.answer.outcome == TurnOutcome::kDone;
      if (done) {
        REQUIRE(record.answer.body.starts_with(caller.id.text()));
        REQUIRE((turn % 3 != 0 || runs_.at({caller.id, turn}) == 1));
      }
      auto told = caller.answers.find(turn);
      if (told != caller.answers.end())
        REQUIRE(told->second == record.answer);
    }
  }

  base::Random random_;
  FakeTable table_;
  std::vector<Sidecar> sidecars_;
  std::vector<Caller> callers_;
  std::unique_ptr<ProgramShard> owner_;
  // The commit whose result is not certain.
  std::optional<RecordBatch> pending_;
  // Transactions of previous owners that are still on their way.
  std::vector<TransactionPlan> late_;
  std::deque<Message> messages_;
  std::deque<Reply> replies_;
  // Number of the last random token.
  std::uint64_t tokens_ = 0;
  // True cost of what ran, in tokens.
  std::map<ProgramId, std::int64_t> cost_;
  // Runs of non-repeatable turns.
  std::map<std::pair<ProgramId, std::uint32_t>, int> runs_;
};

// Guards P1 to P5 and P7 against takeovers, lost commits and their lost
// answers, restarted sidecars, and doubled, late and crossed messages.
TEST_CASE("programs survive random faults in order and within budget") {
  std::map<std::string, int> faults;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed);
    simulation.Run(600);
    for (const auto& [name, count] : simulation.faults)
      faults[name] += count;
  }
  for (const char* name :
       {"cancel", "crossed_answer", "doubled_answer", "doubled_request",
        "lost_commit", "lost_commit_answer", "settle", "sidecar_restart",
        "takeover"}) {
    CAPTURE(name);
    CHECK(faults[name] >= 100);
  }
}

}  // namespace
}  // namespace vanillalever::program
