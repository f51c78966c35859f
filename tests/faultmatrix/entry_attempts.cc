#include <algorithm>
#include <limits>
#include <utility>

#include "entry_model.h"
#include "vanillalever/program/program_codec.h"
#include "world.h"

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
constexpr int kMaxTries = 6;

}  // namespace

void EntryModel::StartAttempt(const CallKey& key) {
  auto state = calls_.find(key);
  Shard* shard = Owned(key.first);
  if (state == calls_.end() || shard == nullptr || state->second.withdrawn)
    return;
  CallState& call = state->second;
  call.retrying = false;
  if (++call.tries > kMaxTries) {
    GiveUp(key);
    return;
  }
  std::string fingerprint = Fingerprint(call.request);
  TimePoint now = world_.simulator().now();
  auto verdict = world_.rule(Rule::kQuarantine)
                     ? strikes_.Evaluate(fingerprint, now)
                     : guard::StrikeVerdict::kNormal;
  if (verdict == guard::StrikeVerdict::kQuarantined) {
    call.quarantined = true;
    GiveUp(key);
    return;
  }
  if (verdict == guard::StrikeVerdict::kWait) {
    --call.tries;
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
    call.alone_token = target.work_token;
    WriteStrikes();
  }
  try {
    shard->programs->With(key.first, [&](Program& program) {
      // A hedge or a late answer may have ended the turn meanwhile.
      if (program.open_call() && program.open_call()->turn == key.second)
        program.StartAttempt(key.second, target);
    });
  } catch (const base::Error&) {
    GiveUp(key);
    return;
  }
  PathStep step = PathStep::kReserve;
  world_.Probe(step, host_, this, target.server, call.request.repeatable,
               [this, id = key.first] {
                 ScheduleCommit();
                 DispatchIfReady(id);
               });
}

std::optional<std::string> EntryModel::PickServer(const ProgramId& id,
                                                  bool repeatable) {
  TimePoint now = world_.simulator().now();
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
         cache_index_.Holders(World::ProgramKey(id.text()), now)) {
      auto found = std::find(servers.begin(), servers.end(),
                             World::ServerName(holder.server));
      if (found != servers.end())
        return *found;
    }
  }
  return servers[world_.simulator().random().Below(servers.size())];
}

void EntryModel::RetryLater(const CallKey& key) {
  auto state = calls_.find(key);
  if (state == calls_.end() || state->second.retrying)
    return;
  state->second.retrying = true;
  host_.After(world_.simulator().Between(100, 400),
              [this, key] { StartAttempt(key); });
}

void EntryModel::GiveUp(const CallKey& key) {
  CallState& call = calls_[key];
  try {
    call.withdrawn =
        Owned(key.first)->programs->With(key.first, [&key](Program& program) {
          program.Withdraw(key.second);
          return program.revision();
        });
  } catch (const base::Error&) {
    // The turn has ended meanwhile, or an intent of it is open.
    return;
  }
  ScheduleCommit();
}

void EntryModel::DispatchIfReady(const ProgramId& id) {
  if (!LeaseHeld())
    return;
  std::vector<AttemptKey> ready;
  std::vector<std::pair<AttemptKey, std::string>> waiting;
  bool uncovered = false;
  Try(id, [&](Program& program) {
    for (const Attempt& attempt : program.attempts()) {
      if (attempt.dispatched)
        continue;
      if (!AloneReady({id, attempt.turn}, attempt.target.work_token))
        continue;
      if (program.dispatch_state(attempt.key()) == DispatchState::kReady)
        ready.push_back(attempt.key());
      else if (!attempt.repeatable)
        waiting.emplace_back(attempt.key(), attempt.target.server);
      else
        uncovered = true;
    }
  });
  // A repeatable attempt above the allowance waits for a commit as well.
  if (uncovered)
    ScheduleCommit();
  for (const auto& [key, server] : waiting) {
    world_.Probe(PathStep::kIntent, host_, this, server, false,
                 [this] { ScheduleCommit(); });
  }
  for (const AttemptKey& key : ready)
    Dispatch(id, key);
}

void EntryModel::Dispatch(const ProgramId& id, const AttemptKey& key) {
  std::optional<Attempt> attempt;
  Try(id, [&](Program& program) {
    program.MarkDispatched(key);
    for (const Attempt& each : program.attempts()) {
      if (each.key() == key)
        attempt = each;
    }
  });
  if (!attempt)
    return;
  world_.Probe(PathStep::kDispatch, host_, this, attempt->target.server,
               attempt->repeatable,
               [this, id, attempt] { Send(id, *attempt); });
}

void EntryModel::Send(const ProgramId& id, const Attempt& attempt) {
  Shard* shard = Owned(id);
  auto state = calls_.find({id, attempt.turn});
  if (shard == nullptr || state == calls_.end())
    return;
  AttemptKey key = attempt.key();
  SidecarModel* sidecar = world_.sidecar(attempt.target.server);
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
  request.alone = state->second.alone_token == key.work_token;
  request.worst_case = attempt.reservation;
  TimePoint now = world_.simulator().now();
  if (attempt.repeatable) {
    cache_index_.OnDispatch(World::ProgramKey(id.text()),
                            World::ServerIndex(attempt.target.server), now);
  }
  world_.network().Call<ExecuteReply>(
      host_, sidecar->host(), kExecuteTimeout,
      [this, sidecar, request](const SidecarModel::Respond& respond) {
        sidecar->Execute(request, respond);
        if (!world_.TakeDouble())
          return;
        sidecar->host().After(world_.simulator().Between(0, 3000),
                              [sidecar, request, respond] {
                                sidecar->Execute(request, respond);
                              });
      },
      [this, id, attempt](const ExecuteReply& reply) {
        world_.Probe(PathStep::kAnswer, host_, this, attempt.target.server,
                     attempt.repeatable, [this, id, attempt, reply] {
                       OnExecuteReply(attempt, id, reply);
                     });
      },
      [this, id, attempt](bool maybe_delivered) {
        if (maybe_delivered)
          OnNoAnswer(id, attempt);
        else
          OnNotRun(id, attempt.key());
      });
}

void EntryModel::OnExecuteReply(const Attempt& attempt,
                                const ProgramId& sent_for,
                                const ExecuteReply& reply) {
  // An answer counts for the attempt that it names, whatever connection it
  // arrived on.
  OnCrashReport(reply);
  bool match = world_.rule(Rule::kAnswerMatch);
  ProgramId id = match ? reply.program : sent_for;
  AttemptKey key = match ? reply.key : attempt.key();
  if (reply.other_incarnation)
    OnLost(id, key);
  else if (reply.refused)
    OnNotRun(id, key);
  else
    TakeResult(id, key, reply.result);
  // An answer to another attempt leaves the own one without an answer.
  if (key != attempt.key())
    OnNoAnswer(sent_for, attempt);
}

void EntryModel::OnNoAnswer(const ProgramId& id, const Attempt& attempt) {
  if (attempt.repeatable)
    OnLost(id, attempt.key());
  else if (world_.rule(Rule::kSettle))
    settling_[attempt.target.work_token] = {id, attempt, false};
  else
    OnNotRun(id, attempt.key());
}

void EntryModel::TakeResult(const ProgramId& id,
                            const AttemptKey& key,
                            const execution::WorkResult& result) {
  Shard* shard = Owned(id);
  if (shard == nullptr)
    return;
  std::optional<Attempt> open;
  Try(id, [&](Program& program) {
    for (const Attempt& each : program.attempts()) {
      if (each.key() == key)
        open = each;
    }
  });
  if (open) {
    acks_[key.work_token] = {open->target.server,
                             open->target.sidecar_incarnation, id, 0};
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
  Try(id, [&](Program& program) {
    if (open)
      acks_[key.work_token].revision = program.revision();
  });
  ScheduleCommit();
  Advance(id);
}

void EntryModel::OnNotRun(const ProgramId& id, const AttemptKey& key) {
  bool found = false;
  ReleaseRunAlone({id, key.turn}, key.work_token);
  Try(id, [&](Program& program) { found = program.MarkNotRun(key); });
  if (found)
    RetryLater({id, key.turn});
  ScheduleCommit();
}

void EntryModel::OnLost(const ProgramId& id, const AttemptKey& key) {
  bool found = false;
  ReleaseRunAlone({id, key.turn}, key.work_token);
  Try(id, [&](Program& program) { found = program.MarkLost(key); });
  if (found) {
    if (auto call = calls_.find({id, key.turn}); call != calls_.end())
      call->second.lost = true;
    RetryLater({id, key.turn});
  }
  ScheduleCommit();
}

void EntryModel::Advance(const ProgramId& id) {
  // An owner whose lease term has expired gives no final answer.
  if (Owned(id) == nullptr || !LeaseHeld())
    return;
  bool early = !world_.rule(Rule::kFinalAfterCommit);
  std::map<std::uint32_t, Answer> answers;
  // A program that has left the memory is durable.
  std::uint64_t durable = std::numeric_limits<std::uint64_t>::max();
  Try(id, [&](Program& program) {
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
          call.lost ? ExecutionStatus::kUnknown : ExecutionStatus::kNotRun, "gave up");
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

void EntryModel::SettleTick() {
  std::vector<std::string> tokens;
  for (auto& [token, settling] : settling_) {
    if (!settling.asking)
      tokens.push_back(token);
  }
  for (const std::string& token : tokens)
    Settle(token);
}

void EntryModel::Settle(const std::string& token) {
  Settling& settling = settling_[token];
  ProgramId id = settling.program;
  const Attempt attempt = settling.attempt;
  Shard* shard = Owned(id);
  if (shard == nullptr) {
    settling_.erase(token);
    return;
  }
  if (instances_.Gone(attempt.target.server, attempt.target.sidecar_incarnation,
                      world_.simulator().now())) {
    settling_.erase(token);
    OnLost(id, attempt.key());
    return;
  }
  SidecarModel* sidecar = world_.sidecar(attempt.target.server);
  if (sidecar == nullptr)
    return;
  settling.asking = true;
  execution::WorkKey key;
  key.token = token;
  key.incarnation = attempt.target.sidecar_incarnation;
  key.shard = id.shard();
  key.fence = shard->programs->fence();
  key.repeatable = false;
  world_.network().Call<SettleReply>(
      host_, sidecar->host(), seconds(1),
      [sidecar, key](const std::function<void(SettleReply)>& respond) {
        respond(sidecar->Settle(key, false));
      },
      [this, token, id, attempt](const SettleReply& reply) {
        if (settling_.count(token) == 0)
          return;
        settling_[token].asking = false;
        switch (reply.settlement) {
          case execution::Settlement::kDone:
            settling_.erase(token);
            TakeResult(id, attempt.key(), reply.result);
            return;
          case execution::Settlement::kRevoked:
            settling_.erase(token);
            OnNotRun(id, attempt.key());
            return;
          case execution::Settlement::kClosed:
          case execution::Settlement::kOtherIncarnation:
            settling_.erase(token);
            OnLost(id, attempt.key());
            return;
          default:
            return;
        }
      },
      [this, token](bool) {
        if (auto it = settling_.find(token); it != settling_.end())
          it->second.asking = false;
      });
}

void EntryModel::AckTick() {
  std::vector<std::pair<std::string, Ack>> due;
  for (const auto& [token, ack] : acks_) {
    // A program that has left the memory is durable.
    std::uint64_t durable = ack.revision;
    Try(ack.program,
        [&](Program& program) { durable = program.durable_revision(); });
    if (durable >= ack.revision)
      due.emplace_back(token, ack);
  }
  for (const auto& [token, ack] : due) {
    SidecarModel* sidecar = world_.sidecar(ack.server);
    bool gone = instances_.Gone(ack.server, ack.sidecar_incarnation,
                                world_.simulator().now());
    bool mine = map_.row(ack.program.shard()).owner == self_.incarnation;
    if (gone || !mine) {
      acks_.erase(token);
      continue;
    }
    bool settled = Owned(ack.program) != nullptr && settling_.count(token) == 0;
    if (sidecar == nullptr || !settled)
      continue;
    world_.Probe(
        PathStep::kAcknowledge, host_, this, ack.server, true,
        [this, sidecar, token = token] {
          world_.network().Call<bool>(
              host_, sidecar->host(), milliseconds(400),
              [sidecar, token](const std::function<void(bool)>& respond) {
                sidecar->Acknowledge(token);
                respond(true);
              },
              [this, token](bool) { acks_.erase(token); }, [](bool) {});
        });
  }
}

}  // namespace vanillalever::faultmatrix
