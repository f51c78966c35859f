#include <utility>

#include "cluster.h"
#include "entry_model.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::faultmatrix {

namespace {

using base::ErrorCode;
using base::ExecutionStatus;
using program::Program;

}  // namespace

void EntryModel::Reply(const Respond& respond, const CallerReply& reply) {
  --open_requests_;
  respond(reply);
}

void EntryModel::Handle(const CallerRequest& request, const Respond& respond) {
  ++open_requests_;
  ProgramId id = program::ProgramShard::IdFor(ToCreateRequest(request));
  const membership::ShardRow& row = map_.row(id.shard());
  if (OwnedShard(id) != nullptr) {
    HandleOwned(request, id, respond);
  } else if (!row.owner.empty() && row.owner != self_.incarnation) {
    Forward(request, row, respond);
  } else {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "the shard has no owner"));
  }
}

void EntryModel::Forward(const CallerRequest& request,
                         const membership::ShardRow& row,
                         const Respond& respond) {
  EntryModel* owner = cluster_.entry(row.owner);
  if (owner == nullptr) {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "the owner is not reachable"));
    return;
  }
  cluster_.network().SendRequest<CallerReply>(
      process_, owner->process(), seconds(8),
      [owner, request](const Respond& answer) {
        owner->Handle(request, answer);
      },
      [this, respond](const CallerReply& reply) { Reply(respond, reply); },
      [this, respond](bool maybe) {
        Reply(respond, ErrorReply(ErrorCode::kUnavailable,
                                  maybe ? ExecutionStatus::kUnknown
                                        : ExecutionStatus::kNotRun,
                                  "no answer from the owner"));
      });
}

void EntryModel::HandleOwned(const CallerRequest& request,
                             const ProgramId& id,
                             const Respond& respond) {
  if (!LeaseHeld() || !config_fresh_) {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "lease or configuration is not current"));
    return;
  }
  auto continue_with = [this, request, id, respond] {
    if (OwnedShard(id) == nullptr) {
      Reply(respond,
            ErrorReply(ErrorCode::kNotOwner, ExecutionStatus::kNotRun, "lost"));
      return;
    }
    try {
      if (request.kind == CallerRequest::Kind::kCreate)
        Create(request, respond);
      else if (request.kind == CallerRequest::Kind::kEnd)
        EndProgram(id, respond);
      else
        Admit(request, id, respond);
    } catch (const base::Error& error) {
      Refuse(request, id, respond, error);
    }
    ScheduleCommit();
  };
  if (request.kind != CallerRequest::Kind::kCall) {
    continue_with();
    return;
  }
  cluster_.InjectFaults(PathStep::kAdmit, process_, this, "",
                        request.repeatable, continue_with);
}

void EntryModel::Refuse(const CallerRequest& request,
                        const ProgramId& id,
                        const Respond& respond,
                        const base::Error& error) {
  ErrorCode code = error.info().code;
  bool out_of_order = code == ErrorCode::kTurnConflict &&
                      !cluster_.enabled(Safeguard::kTurnOrder);
  bool over_budget = code == ErrorCode::kBudgetExhausted &&
                     !cluster_.enabled(Safeguard::kBudgetReservation);
  if (out_of_order || over_budget)
    RunWithoutChecks(request, id, respond);
  else
    Reply(respond, ErrorReply(error));
}

void EntryModel::RunWithoutChecks(const CallerRequest& request,
                                  const ProgramId& id,
                                  const Respond& respond) {
  ExecuteRequest execute;
  execute.program = id;
  execute.key = {request.turn, 1, NewToken()};
  execute.repeatable = request.repeatable;
  execute.worst_case = request.worst_case;
  FakeBackend* backend = cluster_.backend(request.repeatable ? "m1" : "t1");
  if (backend != nullptr)
    backend->Run(execute, [](std::size_t) {});
  Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kUnknown,
                            "rule off"));
}

void EntryModel::Create(const CallerRequest& request, const Respond& respond) {
  program::CreateRequest create = ToCreateRequest(request);
  create.incarnation = NewToken();
  ProgramId id = program::ProgramShard::IdFor(create);
  if (OwnedShard(id)->quiesced) {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "the shard is being handed over"));
    return;
  }
  auto result =
      OwnedShard(id)->programs->Create(create, cluster_.simulator().now());
  durable_waiting_.emplace(id, std::make_pair(result.revision, respond));
  SendDurableReplies(id);
}

void EntryModel::EndProgram(const ProgramId& id, const Respond& respond) {
  std::uint64_t revision =
      OwnedShard(id)->programs->With(id, [](Program& program) {
        program.End();
        return program.revision();
      });
  durable_waiting_.emplace(id, std::make_pair(revision, respond));
  SendDurableReplies(id);
}

void EntryModel::Admit(const CallerRequest& request,
                       const ProgramId& id,
                       const Respond& respond) {
  Shard& shard = *OwnedShard(id);
  CallKey key{id, request.turn};
  if (shard.quiesced && calls_.count(key) == 0) {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "the shard is being handed over"));
    return;
  }
  if (auto call = calls_.find(key);
      call != calls_.end() && call->second.withdrawn) {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "the turn is being withdrawn"));
    return;
  }
  program::LoopGuard limits{program::LoopLimits()};
  TimePoint now = cluster_.simulator().now();
  program::CallRequest call =
      ToCallRequest(request, cluster_.enabled(Safeguard::kIntents));
  auto admission =
      shard.programs->With(id, [&](Program& program) -> program::Admission {
        return program.Admit(call, limits, now);
      });
  switch (admission.action) {
    case program::AdmitAction::kAnswer:
      Reply(respond, AnswerReply(admission.record->answer));
      return;
    case program::AdmitAction::kReadHistory:
      ReadHistory(request, id, respond);
      return;
    case program::AdmitAction::kJoin:
      Join(request, key, respond);
      return;
    case program::AdmitAction::kRun:
      calls_[key] = CallState();
      calls_[key].request = request;
      calls_[key].waiting.push_back(respond);
      StartAttempt(key);
  }
}

void EntryModel::Join(const CallerRequest& request,
                      const CallKey& key,
                      const Respond& respond) {
  bool known = calls_.count(key) > 0;
  CallState& call = calls_[key];
  call.request = request;
  call.waiting.push_back(respond);
  // A turn that a previous owner left open has no attempt once it is settled.
  bool idle = false;
  WithProgram(key.first, [&](Program& program) {
    idle = program.open_call().has_value() && program.attempts().empty();
  });
  if (!known && idle)
    StartAttempt(key);
  SendDurableReplies(key.first);
}

void EntryModel::ReadHistory(const CallerRequest& request,
                             const ProgramId& id,
                             const Respond& respond) {
  auto failed = [this, respond](bool) {
    Reply(respond, ErrorReply(ErrorCode::kUnavailable, ExecutionStatus::kNotRun,
                              "history cannot be read"));
  };
  std::string incarnation = OwnedShard(id)->programs->With(
      id, [](Program& program) { return program.spec().incarnation; });
  std::string key = program::ProgramCodec::TurnKey(id, request.turn);
  cluster_.platform().Read(
      process_, key,
      [this, request, key, respond, incarnation,
       failed](const std::vector<TableRow>& rows) {
        // The read also returns longer keys with this prefix.
        for (const TableRow& row : rows) {
          if (row.key != key)
            continue;
          auto record = program::ProgramCodec::DecodeTurn(row.key, row.value,
                                                          incarnation);
          program::CheckRepeat(
              ToCallRequest(request, cluster_.enabled(Safeguard::kIntents)),
              record);
          Reply(respond, AnswerReply(record.answer));
          return;
        }
        failed(false);
      },
      failed);
}

}  // namespace vanillalever::faultmatrix
