#include "entry_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace vanillalever::bench {
namespace {

using base::milliseconds;

// Time without calls for a server whose connection failed.
constexpr base::Duration kQuarantine = base::seconds(1);

// Retry delay of policies without a retry budget, and the mean delay after
// which a caller retries a turn that the retry budget rejected.
constexpr base::Duration kFixedRetryDelay = milliseconds(50);
constexpr base::Duration kCallerRetryDelay = base::seconds(1);

// Size of the id range of one entry.
constexpr std::uint64_t kIdRangeSize = 1ULL << 40;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

EntryModel::EntryModel(const WorkloadSettings& workload,
                       const Policy& policy,
                       std::uint64_t seed,
                       EventQueue* events,
                       Hooks hooks)
    : workload_(workload),
      policy_(policy),
      events_(events),
      hooks_(std::move(hooks)),
      random_(seed),
      picker_(scheduling::MakeServerPicker(policy.picker)),
      loads_(workload.servers, events->now()),
      next_id_(seed * kIdRangeSize),
      next_key_(seed * kIdRangeSize) {}

const ClassSettings& EntryModel::ClassSettingsFor(
    const ProgramRun& program) const {
  return workload_.classes[program.shape->program_class];
}

void EntryModel::SetDistance(scheduling::ServerIndex server,
                             base::Duration distance) {
  loads_.SetDistance(server, distance);
}

void EntryModel::OnReport(scheduling::ServerIndex server,
                          const scheduling::LoadReport& report) {
  loads_.OnReport(server, report, events_->now());
}

void EntryModel::OnCacheEvent(const scheduling::CacheEvent& event) {
  cache_.OnEvent(event);
}

void EntryModel::StartProgram(std::unique_ptr<ProgramRun> program) {
  ProgramRun* run = program.get();
  run->key = ++next_key_;
  programs_.emplace(run, std::move(program));
  if (run->parent == nullptr) {
    events_->At(run->deadline, [this, run] { EndProgram(run, false); });
  } else {
    run->parent->children.push_back(run);
  }
  if (policy_.admission && run->parent == nullptr)
    AdmitProgram(run);
  else
    IssueTurn(run, events_->now());
}

scheduling::PoolState EntryModel::CurrentPoolState() {
  loads_.Candidates(events_->now(), &candidates_);
  std::vector<double> waits;
  double kv_cache_usage = 0;
  for (const scheduling::Candidate& candidate : candidates_) {
    if (candidate.leaving || candidate.quarantined)
      continue;
    double rate = candidate.service_rate / candidate.slowness;
    kv_cache_usage += candidate.kv_cache_usage;
    waits.push_back((candidate.backlog_tokens + candidate.sent_tokens) / rate);
  }
  if (waits.empty())
    return {.expected_wait = kQuarantine};
  kv_cache_usage /= static_cast<double>(waits.size());
  auto median = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
  std::nth_element(waits.begin(), median, waits.end());
  return {
      .expected_wait = base::Duration(static_cast<std::int64_t>(*median * 1e9)),
      .kv_cache_usage = kv_cache_usage};
}

void EntryModel::AdmitProgram(ProgramRun* program) {
  if (program->ended)
    return;
  base::TimePoint now = events_->now();
  auto decision =
      admission_.Decide(now,
                        {.priority = ClassSettingsFor(*program).priority,
                         .deadline = program->deadline},
                        CurrentPoolState(), random_);
  if (decision.admitted) {
    IssueTurn(program, program->start);
    return;
  }
  hooks_.on_refused(*program);
  // The caller retries after retry_after unless the deadline is earlier.
  if (now + decision.retry_after >= program->deadline) {
    EndProgram(program, false);
    return;
  }
  events_->After(decision.retry_after,
                 [this, program] { AdmitProgram(program); });
}

void EntryModel::IssueTurn(ProgramRun* program, base::TimePoint issued) {
  if (program->ended)
    return;
  program->admitted = true;
  std::uint64_t call_id = ++next_id_;
  calls_[call_id] = {
      .program = program, .issued = issued, .sent = {}, .open = {}};
  if (!SendAttempt(call_id, false))
    RetryCall(call_id);
}

bool EntryModel::SendAttempt(std::uint64_t call_id, bool hedge) {
  base::TimePoint now = events_->now();
  Call& call = calls_.at(call_id);
  ProgramRun* program = call.program;
  const TurnShape& turn = program->shape->turns[program->turn];
  auto program_class = static_cast<int>(program->shape->program_class);

  scheduling::CallProfile profile;
  profile.program = program->key;
  profile.prompt_tokens = program->history + turn.prompt;
  profile.output_tokens = lengths_.ExpectedLength(program_class);
  profile.holders = cache_.Holders(program->key, now);
  for (const Attempt& attempt : call.open)
    profile.excluded.push_back(attempt.server);
  loads_.Candidates(now, &candidates_);
  auto picked = picker_->Pick(candidates_, profile, random_);
  if (!picked)
    return false;
  scheduling::ServerIndex server = candidates_[*picked].server;
  double work = scheduling::WorkTokens(profile, server);
  if (hedge) {
    if (!hedges_.TryHedge(work))
      return false;
    hooks_.on_hedge(work);
  } else {
    hedges_.OnDispatch(work);
    call.sent = now;
  }
  std::uint64_t id = ++next_id_;
  call.open.push_back(
      {.id = id, .server = server, .work = work, .hedge = hedge});
  attempts_[id] = call_id;
  loads_.OnSend(server, work, now);
  cache_.OnDispatch(program->key, server, now);
  hooks_.send(server, {.id = id,
                       .program = program->key,
                       .program_class = program_class,
                       .priority = ClassSettingsFor(*program).priority,
                       .prompt_tokens = profile.prompt_tokens,
                       .output_tokens = turn.output,
                       .program_start = program->start,
                       .deadline = program->deadline,
                       .blocks_parent = program->parent != nullptr});
  if (!hedge && policy_.hedging)
    ScheduleHedge(call_id);
  return true;
}

void EntryModel::ScheduleHedge(std::uint64_t call_id) {
  const Call& call = calls_.at(call_id);
  auto delay =
      hedges_.HedgeDelay(static_cast<int>(call.program->shape->program_class),
                         call.open.back().work);
  if (!delay)
    return;
  events_->After(*delay, [this, call_id] {
    auto found = calls_.find(call_id);
    if (found != calls_.end() && found->second.open.size() == 1)
      SendAttempt(call_id, true);
  });
}

void EntryModel::RetryCall(std::uint64_t call_id) {
  Call& call = calls_.at(call_id);
  ProgramRun* program = call.program;
  base::TimePoint now = events_->now();
  base::Duration delay = kFixedRetryDelay;
  if (policy_.retry_budget) {
    auto allowed =
        retries_.TryRetry(now, program->deadline, ++call.attempts, random_);
    // If the retry budget is exhausted, the turn is rejected as not run, and
    // the caller retries it.
    delay = allowed.value_or(std::chrono::duration_cast<base::Duration>(
        kCallerRetryDelay * (0.5 + random_.Uniform())));
  }
  if (now + delay >= program->deadline) {
    EndProgram(program, false);
    return;
  }
  events_->After(delay, [this, call_id] {
    if (!calls_.contains(call_id))
      return;
    hooks_.on_retry();
    if (!SendAttempt(call_id, false))
      RetryCall(call_id);
  });
}

void EntryModel::RecordWait(const ProgramRun& program,
                            base::TimePoint issued,
                            base::TimePoint end) {
  const TurnShape& turn = program.shape->turns[program.turn];
  double prefill_seconds = turn.prompt / workload_.engine.prefill_rate;
  hooks_.on_wait(program,
                 std::max(0.0, Seconds(end - issued) - prefill_seconds));
}

void EntryModel::OnFirstToken(const FirstToken& token) {
  auto found = attempts_.find(token.id);
  if (found == attempts_.end())
    return;
  Call& call = calls_.at(found->second);
  if (std::exchange(call.first_token, true))
    return;
  RecordWait(*call.program, call.issued, token.time);
}

void EntryModel::OnResult(const CallResult& result) {
  auto found = attempts_.find(result.id);
  if (found == attempts_.end())
    return;
  std::uint64_t call_id = found->second;
  if (result.outcome == CallOutcome::kDone) {
    FinishCall(call_id, result);
    return;
  }
  attempts_.erase(found);
  Call& call = calls_.at(call_id);
  auto attempt =
      std::find_if(call.open.begin(), call.open.end(),
                   [&](const Attempt& open) { return open.id == result.id; });
  scheduling::ServerIndex server = attempt->server;
  call.open.erase(attempt);
  loads_.OnEnd(server);
  if (result.outcome == CallOutcome::kExpired) {
    if (call.open.empty())
      EndProgram(call.program, false);
    return;
  }
  loads_.SetQuarantined(server, true);
  events_->After(kQuarantine,
                 [this, server] { loads_.SetQuarantined(server, false); });
  if (call.open.empty())
    RetryCall(call_id);
}

void EntryModel::FinishCall(std::uint64_t call_id, const CallResult& result) {
  base::TimePoint now = events_->now();
  Call call = calls_.at(call_id);
  calls_.erase(call_id);
  ProgramRun* program = call.program;
  const TurnShape& turn = program->shape->turns[program->turn];
  auto program_class = static_cast<int>(program->shape->program_class);
  for (const Attempt& attempt : call.open) {
    attempts_.erase(attempt.id);
    loads_.OnEnd(attempt.server);
    if (attempt.id == result.id) {
      cache_.OnResult(program->key, attempt.server, result.cached_tokens, now);
    } else {
      hooks_.cancel(attempt.server, attempt.id);
    }
  }
  hooks_.on_turn_done(turn);
  lengths_.OnLength(program_class, turn.output);
  hedges_.OnLatency(program_class, now - call.sent);
  retries_.OnSuccess();
  program->history += turn.prompt + turn.output;
  program->open_children = turn.children.size();
  for (const ProgramShape& shape : turn.children) {
    auto child = std::make_unique<ProgramRun>();
    child->shape = &shape;
    child->parent = program;
    child->start = program->start;
    child->deadline = program->deadline;
    child->measured = program->measured;
    StartProgram(std::move(child));
  }
  if (turn.children.empty())
    NextTurn(program);
}

void EntryModel::NextTurn(ProgramRun* program) {
  base::Duration pause = program->shape->turns[program->turn].pause;
  if (++program->turn == program->shape->turns.size()) {
    EndProgram(program, true);
    return;
  }
  events_->After(pause,
                 [this, program] { IssueTurn(program, events_->now()); });
}

void EntryModel::CancelCalls(ProgramRun* program) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : calls_) {
    if (call.program == program)
      ids.push_back(id);
  }
  for (std::uint64_t id : ids) {
    if (!calls_.at(id).first_token)
      RecordWait(*program, calls_.at(id).issued, events_->now());
    for (const Attempt& attempt : calls_.at(id).open) {
      attempts_.erase(attempt.id);
      loads_.OnEnd(attempt.server);
      hooks_.cancel(attempt.server, attempt.id);
    }
    calls_.erase(id);
  }
}

void EntryModel::EndProgram(ProgramRun* program, bool finished) {
  if (program->ended)
    return;
  program->ended = true;
  if (!program->admitted)
    RecordWait(*program, program->start, events_->now());
  CancelCalls(program);
  for (scheduling::ServerIndex server : cache_.EndProgram(program->key)) {
    if (policy_.release)
      hooks_.release(server, program->key);
  }
  hooks_.on_end(*program, finished);
  for (ProgramRun* child : program->children)
    EndProgram(child, false);
  ProgramRun* parent = program->parent;
  if (parent == nullptr || parent->ended)
    return;
  if (!finished) {
    EndProgram(parent, false);
    return;
  }
  if (--parent->open_children == 0)
    NextTurn(parent);
}

}  // namespace vanillalever::bench
