#include "caller_model.h"

#include <utility>

#include "vanillalever/program/program_shard.h"
#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr char kOrganisation[] = "organisation";
constexpr std::int64_t kWorstCase = 100;
constexpr Duration kTimeout = seconds(9);
// Requests for a turn that crashes servers before the caller gives up.
constexpr int kMaxCrashes = 3;

program::ProgramId IdFor(const std::string& key,
                         const program::ProgramId& parent) {
  program::CreateRequest create;
  create.organisation = kOrganisation;
  create.key = key;
  create.parent = parent;
  return program::ProgramShard::IdFor(create);
}

}  // namespace

CallerModel::CallerModel(World& world,
                         std::string key,
                         program::ProgramId parent,
                         std::int64_t budget,
                         int turns)
    : world_(world),
      host_(world.simulator(), "caller-" + key),
      key_(std::move(key)),
      parent_(std::move(parent)),
      id_(IdFor(key_, parent_)),
      budget_(budget) {
  for (int i = 1; i <= turns; ++i)
    turns_[static_cast<std::uint32_t>(i)].repeatable =
        world.simulator().Chance(50);
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
  request.worst_case = kWorstCase;
  if (auto it = turns_.find(turn); it != turns_.end()) {
    request.repeatable = it->second.repeatable;
    request.crashes = it->second.crashes;
  }
  return request;
}

void CallerModel::Send(const CallerRequest& request) {
  if (done_)
    return;
  EntryModel* entry = world_.PickEntry();
  if (entry == nullptr) {
    Again(request);
    return;
  }
  if (request.kind == CallerRequest::Kind::kCall) {
    Turn& turn = turns_[request.turn];
    // All requests so far were refused as not run, so nothing may have run.
    if (turn.sent > 0 && turn.not_run == turn.sent)
      world_.CheckNotRun(id_.text(), request.turn);
    ++turn.sent;
  }
  world_.network().Call<CallerReply>(
      host_, entry->host(), kTimeout,
      [entry, request](const EntryModel::Respond& respond) {
        entry->Handle(request, respond);
      },
      [this, request](const CallerReply& reply) { OnReply(request, reply); },
      [this, request](bool maybe_delivered) {
        CallerReply reply;
        reply.error.code = base::ErrorCode::kUnavailable;
        reply.error.ran =
            maybe_delivered ? base::ExecutionStatus::kUnknown : base::ExecutionStatus::kNotRun;
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
        Next();
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
  world_.CheckAnswer(id_.text(), number, answer, turn.answer);
  if (!turn.answer)
    turn.answer = answer;
  if (number == current_ && !ending_)
    Next();
}

void CallerModel::OnRefused(const CallerRequest& request,
                            const base::ErrorInfo& error) {
  last_error_ = error;
  bool call = request.kind == CallerRequest::Kind::kCall;
  if (call) {
    Turn& turn = turns_[request.turn];
    ++(error.ran == base::ExecutionStatus::kNotRun ? turn.not_run : turn.unknown);
    // An early call is not repeated before its turn; a late reply to a turn
    // that has been answered changes nothing.
    if (request.turn != current_ || ending_)
      return;
    // Its answer came early, while the turn before it was still open.
    if (turn.answer) {
      Next();
      return;
    }
    bool gave_up = turn.crashes && turn.unknown >= kMaxCrashes;
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
  // The parent has no budget left for a share, or has ended.
  bool refused = request.kind == CallerRequest::Kind::kCreate &&
                 !parent_.empty() &&
                 (error.code == base::ErrorCode::kBudgetExhausted ||
                  error.code == base::ErrorCode::kNotFound ||
                  error.code == base::ErrorCode::kProgramEnded);
  if (ended || refused) {
    done_ = true;
    return;
  }
  Again(request);
}

void CallerModel::Again(const CallerRequest& request) {
  host_.After(world_.simulator().Between(100, 500),
              [this, request] { Send(request); });
}

void CallerModel::Next() {
  ++current_;
  if (turns_.count(current_) == 0) {
    End();
    return;
  }
  if (current_ == 2 && parent_.empty())
    world_.StartChild(id_);
  if (world_.TakeCrash())
    turns_[current_].crashes = turns_[current_].repeatable;
  host_.After(world_.simulator().Between(10, 600), [this, turn = current_] {
    Send(RequestFor(turn));
    Simulator& simulator = world_.simulator();
    // Some callers do not wait, or ask for an answer again.
    if (simulator.Chance(15) && turns_.count(turn + 1) > 0)
      host_.After(simulator.Between(1, 100),
                  [this, turn] { Send(RequestFor(turn + 1)); });
    if (simulator.Chance(15) && turn > 3)
      Send(RequestFor(turn - 3));
    if (simulator.Chance(10))
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
