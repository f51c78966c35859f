#include <algorithm>
#include <limits>
#include <utility>

#include "cluster.h"
#include "entry_model.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::faultmatrix {

namespace {

using base::ErrorCode;
using base::ExecutionStatus;
using program::Answer;
using program::Attempt;
using program::AttemptKey;
using program::DispatchState;
using program::Program;
using program::TurnOutcome;

constexpr Duration kExecuteTimeout = seconds(5);
constexpr int kMaxAttempts = 6;

}  // namespace

void EntryModel::StartAttempt(const CallKey& key) {
  auto state = calls_.find(key);
  Shard* shard = OwnedShard(key.first);
  if (state == calls_.end() || shard == nullptr || state->second.withdrawn)
    return;
  CallState& call = state->second;
  call.retrying = false;
  if (++call.attempts > kMaxAttempts) {
    WithdrawTurn(key);
    return;
  }
  std::string fingerprint = Fingerprint(call.request);
  TimePoint now = cluster_.simulator().now();
  auto verdict = cluster_.enabled(Safeguard::kQuarantine)
                     ? strikes_.Evaluate(fingerprint, now)
                     : guard::StrikeVerdict::kNormal;
  if (verdict == guard::StrikeVerdict::kQuarantined) {
    call.quarantined = true;
    WithdrawTurn(key);
    return;
  }
  if (verdict == guard::StrikeVerdict::kWait) {
    --call.attempts;
    RetryLater(key);
    return;
  }
  auto server = PickServer(key.first, call.request.repeatable);
  if (!server) {
    RetryLater(key);
    return;
  }
  program::AttemptTarget target;
  target.server = *server;
  target.sidecar_incarnation = *instances_.incarnation(*server);
  target.fence = shard->programs->fence();
  target.work_token = NewToken();
  target.holds_cache = call.request.repeatable;
  if (verdict == guard::StrikeVerdict::kRunAlone &&
      strikes_.AcquireRunAlone(fingerprint, target.work_token, target.server,
                               now)) {
    call.run_alone_token = target.work_token;
    WriteStrikes();
  }
  try {
    shard->programs->With(key.first, [&](Program& program) {
      // A hedged attempt or a late response may have completed the turn.
      if (program.open_call() && program.open_call()->turn == key.second)
        program.StartAttempt(key.second, target);
    });
  } catch (const base::Error&) {
    WithdrawTurn(key);
    return;
  }
  PathStep step = PathStep::kReserve;
  cluster_.InjectFaults(step, process_, this, target.server,
                        call.request.repeatable, [this, id = key.first] {
                          ScheduleCommit();
                          DispatchIfReady(id);
                        });
}

std::optional<std::string> EntryModel::PickServer(const ProgramId& id,
                                                  bool repeatable) {
  TimePoint now = cluster_.simulator().now();
  std::vector<std::string> servers;
  for (const auto& listed :
       instances_.live(repeatable ? "models" : "tickets", now)) {
    if (instances_.incarnation(listed.address))
      servers.push_back(listed.address);
  }
  if (servers.empty())
    return std::nullopt;
  if (repeatable) {
    for (const auto& holder :
         cache_index_.Holders(Cluster::ProgramKey(id.text()), now)) {
      auto found = std::find(servers.begin(), servers.end(),
                             Cluster::ServerName(holder.server));
      if (found != servers.end())
        return *found;
    }
  }
  return servers[cluster_.simulator().random().Below(servers.size())];
}

void EntryModel::RetryLater(const CallKey& key) {
  auto state = calls_.find(key);
  if (state == calls_.end() || state->second.retrying)
    return;
  state->second.retrying = true;
  process_.Schedule(cluster_.simulator().RandomDuration(100, 400),
                    [this, key] { StartAttempt(key); });
}

void EntryModel::WithdrawTurn(const CallKey& key) {
  CallState& call = calls_[key];
  try {
    call.withdrawn = OwnedShard(key.first)->programs->With(
        key.first, [&key](Program& program) {
          program.Withdraw(key.second);
          return program.revision();
        });
  } catch (const base::Error&) {
    // The turn has completed, or one of its intents is open.
    return;
  }
  ScheduleCommit();
}

void EntryModel::DispatchIfReady(const ProgramId& id) {
  if (!LeaseHeld())
    return;
  std::vector<AttemptKey> ready;
  std::vector<std::pair<AttemptKey, std::string>> waiting;
  bool above_allowance = false;
  WithProgram(id, [&](Program& program) {
    for (const Attempt& attempt : program.attempts()) {
      if (attempt.dispatched)
        continue;
      if (!RunAloneReady({id, attempt.turn}, attempt.target.work_token))
        continue;
      if (program.dispatch_state(attempt.key()) == DispatchState::kReady)
        ready.push_back(attempt.key());
      else if (!attempt.repeatable)
        waiting.emplace_back(attempt.key(), attempt.target.server);
      else
        above_allowance = true;
    }
  });
  // A repeatable attempt above the allowance also waits for a commit.
  if (above_allowance)
    ScheduleCommit();
  for (const auto& [key, server] : waiting) {
    cluster_.InjectFaults(PathStep::kIntent, process_, this, server, false,
                          [this] { ScheduleCommit(); });
  }
  for (const AttemptKey& key : ready)
    Dispatch(id, key);
}

void EntryModel::Dispatch(const ProgramId& id, const AttemptKey& key) {
  std::optional<Attempt> attempt;
  WithProgram(id, [&](Program& program) {
    program.MarkDispatched(key);
    for (const Attempt& each : program.attempts()) {
      if (each.key() == key)
        attempt = each;
    }
  });
  if (!attempt)
    return;
  cluster_.InjectFaults(PathStep::kDispatch, process_, this,
                        attempt->target.server, attempt->repeatable,
                        [this, id, attempt] { Send(id, *attempt); });
}

void EntryModel::Send(const ProgramId& id, const Attempt& attempt) {
  Shard* shard = OwnedShard(id);
  auto state = calls_.find({id, attempt.turn});
  if (shard == nullptr || state == calls_.end())
    return;
  AttemptKey key = attempt.key();
  SidecarModel* sidecar = cluster_.sidecar(attempt.target.server);
  if (sidecar == nullptr) {
    OnNotRun(id, key);
    return;
  }
  ExecuteRequest request;
  request.program = id;
  request.program_incarnation = shard->programs->With(
      id, [](Program& program) { return program.spec().incarnation; });
  request.fence = attempt.target.fence;
  request.key = key;
  request.sidecar_incarnation = attempt.target.sidecar_incarnation;
  request.repeatable = state->second.request.repeatable;
  request.crashes = state->second.request.crashes;
  request.fingerprint = Fingerprint(state->second.request);
  request.alone = state->second.run_alone_token == key.work_token;
  request.worst_case = attempt.reservation;
  TimePoint now = cluster_.simulator().now();
  if (attempt.repeatable) {
    cache_index_.OnDispatch(Cluster::ProgramKey(id.text()),
                            Cluster::ServerIndex(attempt.target.server), now);
  }
  cluster_.network().SendRequest<ExecuteReply>(
      process_, sidecar->process(), kExecuteTimeout,
      [this, sidecar, request](const SidecarModel::Respond& respond) {
        sidecar->Execute(request, respond);
        if (!cluster_.ConsumeDuplicate())
          return;
        sidecar->process().Schedule(
            cluster_.simulator().RandomDuration(0, 3000),
            [sidecar, request, respond] {
              sidecar->Execute(request, respond);
            });
      },
      [this, id, attempt](const ExecuteReply& reply) {
        cluster_.InjectFaults(
            PathStep::kAnswer, process_, this, attempt.target.server,
            attempt.repeatable,
            [this, id, attempt, reply] { OnExecuteReply(attempt, id, reply); });
      },
      [this, id, attempt](bool maybe_delivered) {
        if (maybe_delivered)
          OnNoResponse(id, attempt);
        else
          OnNotRun(id, attempt.key());
      });
}

void EntryModel::OnExecuteReply(const Attempt& attempt,
                                const ProgramId& sent_for,
                                const ExecuteReply& reply) {
  // A response belongs to the attempt that it names, not to the request on
  // whose connection it arrived.
  OnCrashReport(reply);
  bool match = cluster_.enabled(Safeguard::kResponseMatching);
  ProgramId id = match ? reply.program : sent_for;
  AttemptKey key = match ? reply.key : attempt.key();
  if (reply.other_incarnation)
    OnLost(id, key);
  else if (reply.refused)
    OnNotRun(id, key);
  else
    OnResult(id, key, reply.result);
  // After a response to another attempt, this one has no response.
  if (key != attempt.key())
    OnNoResponse(sent_for, attempt);
}

void EntryModel::OnNoResponse(const ProgramId& id, const Attempt& attempt) {
  if (attempt.repeatable)
    OnLost(id, attempt.key());
  else if (cluster_.enabled(Safeguard::kSettleIntents))
    pending_settlements_[attempt.target.work_token] = {id, attempt, false};
  else
    OnNotRun(id, attempt.key());
}

void EntryModel::OnResult(const ProgramId& id,
                          const AttemptKey& key,
                          const execution::WorkResult& result) {
  Shard* shard = OwnedShard(id);
  if (shard == nullptr)
    return;
  std::optional<Attempt> open;
  WithProgram(id, [&](Program& program) {
    for (const Attempt& each : program.attempts()) {
      if (each.key() == key)
        open = each;
    }
  });
  if (open) {
    pending_acknowledgements_[key.work_token] = {
        open->target.server, open->target.sidecar_incarnation, id, 0};
  }
  if (result.error && result.error->ran == ExecutionStatus::kNotRun) {
    OnNotRun(id, key);
  } else if (result.error && (!open || open->repeatable)) {
    OnLost(id, key);
  } else {
    Answer answer;
    answer.outcome = result.error ? TurnOutcome::kUnknown : TurnOutcome::kDone;
    answer.body = result.body;
    answer.cost = static_cast<std::int64_t>(result.tokens);
    shard->programs->Accept(id, key, answer);
  }
  WithProgram(id, [&](Program& program) {
    if (open)
      pending_acknowledgements_[key.work_token].revision = program.revision();
  });
  ScheduleCommit();
  SendDurableReplies(id);
}

void EntryModel::OnNotRun(const ProgramId& id, const AttemptKey& key) {
  bool found = false;
  ReleaseRunAlone({id, key.turn}, key.work_token);
  WithProgram(id, [&](Program& program) { found = program.MarkNotRun(key); });
  if (found)
    RetryLater({id, key.turn});
  ScheduleCommit();
}

void EntryModel::OnLost(const ProgramId& id, const AttemptKey& key) {
  bool found = false;
  ReleaseRunAlone({id, key.turn}, key.work_token);
  WithProgram(id, [&](Program& program) { found = program.MarkLost(key); });
  if (found) {
    if (auto call = calls_.find({id, key.turn}); call != calls_.end())
      call->second.outcome_unknown = true;
    RetryLater({id, key.turn});
  }
  ScheduleCommit();
}

void EntryModel::SendDurableReplies(const ProgramId& id) {
  // An owner without a valid lease sends no final answer.
  if (OwnedShard(id) == nullptr || !LeaseHeld())
    return;
  bool early = !cluster_.enabled(Safeguard::kAnswerAfterCommit);
  std::map<std::uint32_t, Answer> answers;
  // A program that was evicted from memory is durable.
  std::uint64_t durable = std::numeric_limits<std::uint64_t>::max();
  WithProgram(id, [&](Program& program) {
    durable = early ? program.revision() : program.durable_revision();
    for (const program::TurnRecord& record : program.history()) {
      if (early || program.turn_durable(record.turn))
        answers[record.turn] = record.answer;
    }
  });
  std::vector<std::pair<Respond, CallerReply>> replies;
  for (auto it = calls_.lower_bound({id, 0});
       it != calls_.end() && it->first.first == id;) {
    CallState& call = it->second;
    std::optional<CallerReply> reply;
    if (auto answer = answers.find(it->first.second); answer != answers.end())
      reply = AnswerReply(answer->second);
    else if (call.withdrawn && durable >= *call.withdrawn)
      reply = ErrorReply(
          call.quarantined ? ErrorCode::kQuarantined : ErrorCode::kUnavailable,
          call.outcome_unknown ? ExecutionStatus::kUnknown
                               : ExecutionStatus::kNotRun,
          "gave up");
    if (!reply) {
      ++it;
      continue;
    }
    for (const Respond& respond : call.waiting)
      replies.emplace_back(respond, *reply);
    it = calls_.erase(it);
  }
  for (auto it = durable_waiting_.lower_bound(id);
       it != durable_waiting_.end() && it->first == id;) {
    if (durable < it->second.first) {
      ++it;
      continue;
    }
    replies.emplace_back(it->second.second, AnswerReply(Answer()));
    it = durable_waiting_.erase(it);
  }
  for (const auto& [respond, reply] : replies)
    Reply(respond, reply);
  DispatchIfReady(id);
}

void EntryModel::SettlePending() {
  std::vector<std::string> tokens;
  for (auto& [token, settling] : pending_settlements_) {
    if (!settling.query_sent)
      tokens.push_back(token);
  }
  for (const std::string& token : tokens)
    Settle(token);
}

void EntryModel::Settle(const std::string& token) {
  PendingSettlement& settling = pending_settlements_[token];
  ProgramId id = settling.program;
  const Attempt attempt = settling.attempt;
  Shard* shard = OwnedShard(id);
  if (shard == nullptr) {
    pending_settlements_.erase(token);
    return;
  }
  if (instances_.IncarnationEnded(attempt.target.server,
                                  attempt.target.sidecar_incarnation,
                                  cluster_.simulator().now())) {
    pending_settlements_.erase(token);
    OnLost(id, attempt.key());
    return;
  }
  SidecarModel* sidecar = cluster_.sidecar(attempt.target.server);
  if (sidecar == nullptr)
    return;
  settling.query_sent = true;
  execution::WorkKey key;
  key.token = token;
  key.incarnation = attempt.target.sidecar_incarnation;
  key.shard = id.shard();
  key.fence = shard->programs->fence();
  key.repeatable = false;
  cluster_.network().SendRequest<SettleReply>(
      process_, sidecar->process(), seconds(1),
      [sidecar, key](const std::function<void(SettleReply)>& respond) {
        respond(sidecar->Settle(key, false));
      },
      [this, token, id, attempt](const SettleReply& reply) {
        if (pending_settlements_.count(token) == 0)
          return;
        pending_settlements_[token].query_sent = false;
        switch (reply.settlement) {
          case execution::Settlement::kDone:
            pending_settlements_.erase(token);
            OnResult(id, attempt.key(), reply.result);
            return;
          case execution::Settlement::kRevoked:
            pending_settlements_.erase(token);
            OnNotRun(id, attempt.key());
            return;
          case execution::Settlement::kClosed:
          case execution::Settlement::kOtherIncarnation:
            pending_settlements_.erase(token);
            OnLost(id, attempt.key());
            return;
          default:
            return;
        }
      },
      [this, token](bool) {
        if (auto it = pending_settlements_.find(token);
            it != pending_settlements_.end())
          it->second.query_sent = false;
      });
}

void EntryModel::SendAcknowledgements() {
  std::vector<std::pair<std::string, PendingAcknowledgement>> due;
  for (const auto& [token, ack] : pending_acknowledgements_) {
    // A program that was evicted from memory is durable.
    std::uint64_t durable = ack.revision;
    WithProgram(ack.program, [&](Program& program) {
      durable = program.durable_revision();
    });
    if (durable >= ack.revision)
      due.emplace_back(token, ack);
  }
  for (const auto& [token, ack] : due) {
    SidecarModel* sidecar = cluster_.sidecar(ack.server);
    bool gone = instances_.IncarnationEnded(ack.server, ack.sidecar_incarnation,
                                            cluster_.simulator().now());
    bool owned = map_.row(ack.program.shard()).owner == self_.incarnation;
    if (gone || !owned) {
      pending_acknowledgements_.erase(token);
      continue;
    }
    bool settled = OwnedShard(ack.program) != nullptr &&
                   pending_settlements_.count(token) == 0;
    if (sidecar == nullptr || !settled)
      continue;
    cluster_.InjectFaults(
        PathStep::kAcknowledge, process_, this, ack.server, true,
        [this, sidecar, token = token] {
          cluster_.network().SendRequest<bool>(
              process_, sidecar->process(), milliseconds(400),
              [sidecar, token](const std::function<void(bool)>& respond) {
                sidecar->Acknowledge(token);
                respond(true);
              },
              [this, token](bool) { pending_acknowledgements_.erase(token); },
              [](bool) {});
        });
  }
}

}  // namespace vanillalever::faultmatrix
