#include "recovery.h"

#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include "turn_answer.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/http/message.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::entry {
namespace {

constexpr base::Duration kReadRetryInterval = base::milliseconds(200);
constexpr base::Duration kShardSettledTimeout = base::seconds(2);

base::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::vector<program::StoredRow> ReadRows(platform::PlatformStore& store,
                                         const std::string& prefix) {
  std::vector<program::StoredRow> rows;
  for (platform::Row& row : store.Scan(prefix))
    rows.push_back({std::move(row.key), std::move(row.value), row.version});
  return rows;
}

}  // namespace

Recovery::Recovery(EntryContext& context)
    : context_(context),
      recovered_programs_(
          context.counters.counter("vl_entry_programs_recovered_total",
                                   "Programs read from their rows.")),
      malformed_programs_(
          context.counters.counter("vl_entry_malformed_rows_total",
                                   "Programs whose rows could not be "
                                   "read.")),
      settled_intents_(
          context.counters.counter("vl_entry_intents_settled_total",
                                   "Open intents of former owners that "
                                   "were settled.")) {}

void Recovery::LoadShard(const membership::ShardRow& row) {
  context_.workers.Post([this, row] {
    try {
      ShardPtr shard = ReadShard(row);
      std::vector<program::ProgramAttempt> open_attempts =
          shard->FinishRecovery();
      auto progress = std::make_shared<SettlementProgress>();
      progress->shard = shard;
      progress->remaining = open_attempts.size() + 1;
      context_.shards.Install(shard);
      context_.committer.Wake();
      base::LogEvent(base::LogLevel::kInfo, "shard_serving",
                     {{"shard", std::to_string(row.shard)},
                      {"fence", std::to_string(row.fence)},
                      {"programs", std::to_string(shard->size())},
                      {"intents", std::to_string(open_attempts.size())}});
      for (const program::ProgramAttempt& open_attempt : open_attempts)
        SettleAttempt(progress, open_attempt);
      OnAttemptDone(progress);
    } catch (const base::Error&) {
      std::this_thread::sleep_for(kReadRetryInterval);
      // Retries end when the row names another owner.
      if (context_.membership.lease_held() &&
          context_.membership.OwnerAddress(row.shard).empty())
        LoadShard(row);
    }
  });
}

ShardPtr Recovery::ReadShard(const membership::ShardRow& row) {
  std::map<std::string, std::vector<program::StoredRow>> by_program;
  for (program::StoredRow& stored : ReadRows(
           context_.store, program::ProgramCodec::ShardPrefix(row.shard))) {
    try {
      auto key = program::ProgramCodec::ParseKey(stored.key);
      by_program[key.id.text()].push_back(std::move(stored));
    } catch (const base::Error& error) {
      malformed_programs_.Add();
      base::LogEvent(base::LogLevel::kError, "malformed_row",
                     {{"error", error.what()}});
    }
  }
  auto shard = std::make_shared<program::ProgramShard>(
      program::ShardCondition{row.shard, row.version}, row.fence,
      program::ProgramShardSettings{});
  for (const auto& [id, rows] : by_program) {
    try {
      program::Program program = program::ProgramCodec::Recover(
          rows, Now(),
          row.handed_over ? program::OwnershipEnd::kHandedOver
                          : program::OwnershipEnd::kCrashed);
      program.TrimHistory(program::ProgramShardSettings{}.history_turns);
      shard->Insert(std::move(program));
      recovered_programs_.Add();
    } catch (const base::Error& error) {
      malformed_programs_.Add();
      base::LogEvent(base::LogLevel::kError, "malformed_program",
                     {{"program", id}, {"error", error.what()}});
    }
  }
  return shard;
}

bool Recovery::LoadProgram(const ShardPtr& shard,
                           const program::ProgramId& id) {
  auto rows =
      ReadRows(context_.store, program::ProgramCodec::ProgramPrefix(id));
  if (rows.empty())
    return false;
  program::Program program = program::ProgramCodec::Recover(rows, Now());
  program.TrimHistory(program::ProgramShardSettings{}.history_turns);
  try {
    shard->Insert(std::move(program));
    recovered_programs_.Add();
  } catch (const base::Error& error) {
    // Another request has loaded the program concurrently.
    if (error.info().code != base::ErrorCode::kInternal)
      throw;
  }
  return true;
}

void Recovery::SettleAttempt(
    const std::shared_ptr<SettlementProgress>& progress,
    const program::ProgramAttempt& open_attempt) {
  context_.settler.Settle(
      open_attempt.attempt, progress->shard->shard(), progress->shard->fence(),
      Now() + context_.settings.settle_timeout,
      [this, progress, open_attempt](const SettleOutcome& outcome) {
        context_.workers.Post([this, progress, open_attempt, outcome] {
          OnSettled(progress, open_attempt, outcome);
        });
      });
}

void Recovery::OnSettled(const std::shared_ptr<SettlementProgress>& progress,
                         const program::ProgramAttempt& open_attempt,
                         const SettleOutcome& outcome) {
  settled_intents_.Add();
  try {
    bool not_run = outcome.kind == SettleKind::kNotRun;
    const auto& error = outcome.result.error;
    if (outcome.kind == SettleKind::kResult && error &&
        error->ran == base::ExecutionStatus::kNotRun)
      not_run = true;
    program::Answer answer;
    if (not_run) {
      RollBackTurn(progress->shard, open_attempt);
    } else if (outcome.kind == SettleKind::kResult && !error) {
      answer.body = outcome.result.body;
      answer.input_tokens = outcome.result.prompt_tokens;
      answer.output_tokens = outcome.result.output_tokens;
      answer.cost = open_attempt.attempt.reservation;
      FinishTurn(progress, open_attempt, answer);
    } else if (outcome.kind == SettleKind::kResult &&
               error->ran == base::ExecutionStatus::kRan) {
      answer.outcome = program::TurnOutcome::kFailed;
      answer.body = http::ErrorBody(*error);
      FinishTurn(progress, open_attempt, answer);
    } else if (outcome.kind != SettleKind::kShardLost) {
      base::ErrorInfo info;
      info.code = base::ErrorCode::kOutcomeUnknown;
      info.step = base::Step::kRun;
      info.peer = open_attempt.attempt.target.server;
      info.message = "the call may have run and is not run again";
      info.ran = base::ExecutionStatus::kUnknown;
      answer.outcome = program::TurnOutcome::kUnknown;
      answer.body = http::ErrorBody(info);
      FinishTurn(progress, open_attempt, answer);
    }
  } catch (const base::Error& error) {
    base::LogEvent(
        base::LogLevel::kWarning, "intent_not_settled",
        {{"program", open_attempt.program.text()}, {"error", error.what()}});
  }
  OnAttemptDone(progress);
}

// Records the answer, storing a large body as an object first. Runs on a worker
// thread.
void Recovery::FinishTurn(const std::shared_ptr<SettlementProgress>& progress,
                          const program::ProgramAttempt& open_attempt,
                          const program::Answer& answer) {
  const ShardPtr& shard = progress->shard;
  program::Answer stored_answer = answer;
  auto [incarnation, call] =
      shard->With(open_attempt.program, [](program::Program& program) {
        return std::pair(program.spec().incarnation, program.open_call());
      });
  if (!call)
    return;
  if (stored_answer.body.size() > program::kMaxInlineBodyBytes) {
    stored_answer.object = program::ProgramCodec::ObjectName(
        open_attempt.program, incarnation, open_attempt.attempt.turn);
    context_.store.PutObject(stored_answer.object, stored_answer.body);
  }
  shard->Accept(open_attempt.program, open_attempt.attempt.key(),
                stored_answer);
  std::uint64_t revision =
      shard->With(open_attempt.program,
                  [](program::Program& program) { return program.revision(); });
  context_.committer.WhenDurable(
      shard, open_attempt.program, revision,
      [this, open_attempt, stored_answer,
       call = *call](const std::optional<base::ErrorInfo>& error) {
        if (error) {
          return context_.waiters.Fail(open_attempt.program,
                                       open_attempt.attempt.turn, *error);
        }
        context_.acknowledger.Add(
            open_attempt.attempt.target.server,
            open_attempt.attempt.target.sidecar_incarnation,
            open_attempt.attempt.target.work_token);
        program::TurnRecord record;
        record.turn = open_attempt.attempt.turn;
        record.pool = call.pool;
        record.operation = call.operation;
        record.answer = stored_answer;
        TurnAnswer reply =
            MakeTurnAnswer(open_attempt.program, record, stored_answer.body);
        context_.waiters.Finish(open_attempt.program, open_attempt.attempt.turn,
                                reply.status, reply.body);
      });
}

// Closes the turn of a call that never ran. The request body is not stored, so
// the caller must send the call again.
void Recovery::RollBackTurn(const ShardPtr& shard,
                            const program::ProgramAttempt& open_attempt) {
  shard->With(open_attempt.program, [&](program::Program& program) {
    program.MarkNotRun(open_attempt.attempt.key());
    program.Withdraw(open_attempt.attempt.turn);
  });
  context_.committer.Wake();
  base::ErrorInfo info;
  info.code = base::ErrorCode::kUnavailable;
  info.step = base::Step::kDispatch;
  info.message = "the former owner of the program died before it sent the call";
  info.retry_after = base::milliseconds(100);
  context_.waiters.Fail(open_attempt.program, open_attempt.attempt.turn, info);
}

void Recovery::OnAttemptDone(
    const std::shared_ptr<SettlementProgress>& progress) {
  if (--progress->remaining > 0)
    return;
  for (const Server& server : context_.servers.servers()) {
    server.client->ShardSettled(
        progress->shard->shard(), progress->shard->fence(),
        kShardSettledTimeout, [](const protocol::Outcome<protocol::Empty>&) {});
  }
}

}  // namespace vanillalever::entry
