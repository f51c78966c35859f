#include "caller_model.h"

#include <utility>

#include "cluster.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr char kOrganisation[] = "organisation";
constexpr std::int64_t kWorstCaseTokens = 100;
constexpr Duration kRequestTimeout = seconds(9);
// Unknown outcomes after which a caller gives up a turn that crashes servers.
constexpr int kMaxCrashAttempts = 3;

program::ProgramId IdFor(const std::string& key,
                         const program::ProgramId& parent) {
  program::CreateRequest create;
  create.organisation = kOrganisation;
  create.key = key;
  create.parent = parent;
  return program::ProgramShard::IdFor(create);
}

}  // namespace

CallerModel::CallerModel(Cluster& cluster,
                         std::string key,
                         program::ProgramId parent,
                         std::int64_t budget,
                         int turns)
    : cluster_(cluster),
      process_(cluster.simulator(), "caller-" + key),
      key_(std::move(key)),
      parent_(std::move(parent)),
      id_(IdFor(key_, parent_)),
      budget_(budget) {
  for (int i = 1; i <= turns; ++i)
    turns_[static_cast<std::uint32_t>(i)].repeatable =
        cluster.simulator().RandomChance(50);
}

void CallerModel::Start() {
  CallerRequest request = RequestFor(0);
  request.kind = CallerRequest::Kind::kCreate;
  Send(request);
}

CallerRequest CallerModel::RequestFor(std::uint32_t turn) const {
  CallerRequest request;
  request.organisation = kOrganisation;
  request.key = key_;
  request.parent = parent_;
  request.budget = budget_;
  request.turn = turn;
  request.worst_case = kWorstCaseTokens;
  if (auto it = turns_.find(turn); it != turns_.end()) {
    request.repeatable = it->second.repeatable;
    request.crashes = it->second.crashes;
  }
  return request;
}

void CallerModel::Send(const CallerRequest& request) {
  if (done_)
    return;
  EntryModel* entry = cluster_.PickEntry();
  if (entry == nullptr) {
    RetryLater(request);
    return;
  }
  if (request.kind == CallerRequest::Kind::kCall) {
    Turn& turn = turns_[request.turn];
    // If all requests so far were refused as not run, none may have run.
    if (turn.sent > 0 && turn.not_run == turn.sent)
      cluster_.CheckNotRun(id_.text(), request.turn);
    ++turn.sent;
  }
  cluster_.network().SendRequest<CallerReply>(
      process_, entry->process(), kRequestTimeout,
      [entry, request](const EntryModel::Respond& respond) {
        entry->Handle(request, respond);
      },
      [this, request](const CallerReply& reply) { OnReply(request, reply); },
      [this, request](bool maybe_delivered) {
        CallerReply reply;
        reply.error.code = base::ErrorCode::kUnavailable;
        reply.error.ran = maybe_delivered ? base::ExecutionStatus::kUnknown
                                          : base::ExecutionStatus::kNotRun;
        OnReply(request, reply);
      });
}

void CallerModel::OnReply(const CallerRequest& request,
                          const CallerReply& reply) {
  if (!reply.ok) {
    OnRefused(request, reply.error);
    return;
  }
  switch (request.kind) {
    case CallerRequest::Kind::kCreate:
      if (!std::exchange(created_, true))
        StartNextTurn();
      return;
    case CallerRequest::Kind::kCall:
      OnAnswer(request.turn, reply.answer);
      return;
    case CallerRequest::Kind::kEnd:
      done_ = true;
      return;
  }
}

void CallerModel::OnAnswer(std::uint32_t number,
                           const program::Answer& answer) {
  Turn& turn = turns_[number];
  cluster_.CheckAnswer(id_.text(), number, answer, turn.answer);
  if (!turn.answer)
    turn.answer = answer;
  if (number == current_ && !ending_)
    StartNextTurn();
}

void CallerModel::OnRefused(const CallerRequest& request,
                            const base::ErrorInfo& error) {
  last_error_ = error;
  bool call = request.kind == CallerRequest::Kind::kCall;
  if (call) {
    Turn& turn = turns_[request.turn];
    ++(error.ran == base::ExecutionStatus::kNotRun ? turn.not_run
                                                   : turn.unknown);
    // A call sent before its turn is not repeated until the turn begins, and a
    // late reply to an answered turn is ignored.
    if (request.turn != current_ || ending_)
      return;
    // The answer arrived while the previous turn was still open.
    if (turn.answer) {
      StartNextTurn();
      return;
    }
    bool gave_up = turn.crashes && turn.unknown >= kMaxCrashAttempts;
    if (error.code == base::ErrorCode::kBudgetExhausted ||
        error.code == base::ErrorCode::kQuarantined || gave_up) {
      turn.given_up = true;
      turn.quarantined = error.code == base::ErrorCode::kQuarantined;
      End();
      return;
    }
  }
  bool ended = request.kind == CallerRequest::Kind::kEnd &&
               error.code == base::ErrorCode::kNotFound;
  // The parent has too little budget left, or has ended.
  bool refused = request.kind == CallerRequest::Kind::kCreate &&
                 !parent_.empty() &&
                 (error.code == base::ErrorCode::kBudgetExhausted ||
                  error.code == base::ErrorCode::kNotFound ||
                  error.code == base::ErrorCode::kProgramEnded);
  if (ended || refused) {
    done_ = true;
    return;
  }
  RetryLater(request);
}

void CallerModel::RetryLater(const CallerRequest& request) {
  process_.Schedule(cluster_.simulator().RandomDuration(100, 500),
                    [this, request] { Send(request); });
}

void CallerModel::StartNextTurn() {
  ++current_;
  if (turns_.count(current_) == 0) {
    End();
    return;
  }
  if (current_ == 2 && parent_.empty())
    cluster_.StartSubAgent(id_);
  if (cluster_.ConsumeCrash())
    turns_[current_].crashes = turns_[current_].repeatable;
  process_.Schedule(
      cluster_.simulator().RandomDuration(10, 600), [this, turn = current_] {
        Send(RequestFor(turn));
        Simulator& simulator = cluster_.simulator();
        // Some callers send the next turn early, or repeat a request.
        if (simulator.RandomChance(15) && turns_.count(turn + 1) > 0)
          process_.Schedule(simulator.RandomDuration(1, 100),
                            [this, turn] { Send(RequestFor(turn + 1)); });
        if (simulator.RandomChance(15) && turn > 3)
          Send(RequestFor(turn - 3));
        if (simulator.RandomChance(10))
          Send(RequestFor(turn));
      });
}

void CallerModel::End() {
  ending_ = true;
  CallerRequest request = RequestFor(0);
  request.kind = CallerRequest::Kind::kEnd;
  Send(request);
}

}  // namespace vanillalever::faultmatrix
