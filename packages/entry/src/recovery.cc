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

constexpr base::Duration kReadRetry = base::milliseconds(200);
constexpr base::Duration kSettledTimeout = base::seconds(2);

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
      programs_(context.counters.counter("vl_entry_programs_recovered_total",
                                         "Programs read from their rows.")),
      malformed_(context.counters.counter("vl_entry_malformed_rows_total",
                                          "Programs whose rows could not be "
                                          "read.")),
      intents_(context.counters.counter("vl_entry_intents_settled_total",
                                        "Open intents of former owners that "
                                        "were settled.")) {}

void Recovery::Load(const membership::ShardRow& row) {
  context_.workers.Post([this, row] {
    try {
      ShardPtr shard = ReadShard(row);
      std::vector<program::ProgramAttempt> intents = shard->FinishRecovery();
      auto open = std::make_shared<OpenIntents>();
      open->shard = shard;
      open->left = intents.size() + 1;
      context_.shards.Install(shard);
      context_.committer.Wake();
      base::LogEvent(base::LogLevel::kInfo, "shard_serving",
                     {{"shard", std::to_string(row.shard)},
                      {"fence", std::to_string(row.fence)},
                      {"programs", std::to_string(shard->size())},
                      {"intents", std::to_string(intents.size())}});
      for (const program::ProgramAttempt& intent : intents)
        SettleIntent(open, intent);
      IntentDone(open);
    } catch (const base::Error&) {
      std::this_thread::sleep_for(kReadRetry);
      // The next owner's row ends the retries.
      if (context_.membership.lease_held() &&
          context_.membership.OwnerAddress(row.shard).empty())
        Load(row);
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
      malformed_.Add();
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
      programs_.Add();
    } catch (const base::Error& error) {
      malformed_.Add();
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
    programs_.Add();
  } catch (const base::Error& error) {
    // Another request loaded it meanwhile.
    if (error.info().code != base::ErrorCode::kInternal)
      throw;
  }
  return true;
}

void Recovery::SettleIntent(const std::shared_ptr<OpenIntents>& open,
                            const program::ProgramAttempt& intent) {
  context_.settler.Settle(
      intent.attempt, open->shard->shard(), open->shard->fence(),
      Now() + context_.settings.settle_limit,
      [this, open, intent](const SettleOutcome& outcome) {
        context_.workers.Post([this, open, intent, outcome] {
          OnSettled(open, intent, outcome);
        });
      });
}

void Recovery::OnSettled(const std::shared_ptr<OpenIntents>& open,
                         const program::ProgramAttempt& intent,
                         const SettleOutcome& outcome) {
  intents_.Add();
  try {
    bool not_run = outcome.kind == SettleKind::kNotRun;
    const auto& error = outcome.result.error;
    if (outcome.kind == SettleKind::kResult && error &&
        error->ran == base::Ran::kNotRun)
      not_run = true;
    program::Answer answer;
    if (not_run) {
      Withdraw(open->shard, intent);
    } else if (outcome.kind == SettleKind::kResult && !error) {
      answer.body = outcome.result.body;
      answer.input_tokens = outcome.result.prompt_tokens;
      answer.output_tokens = outcome.result.output_tokens;
      answer.cost = intent.attempt.reservation;
      Finish(open, intent, answer);
    } else if (outcome.kind == SettleKind::kResult &&
               error->ran == base::Ran::kRan) {
      answer.outcome = program::TurnOutcome::kFailed;
      answer.body = http::ErrorBody(*error);
      Finish(open, intent, answer);
    } else if (outcome.kind != SettleKind::kShardLost) {
      base::ErrorInfo info;
      info.code = base::ErrorCode::kOutcomeUnknown;
      info.step = base::Step::kRun;
      info.peer = intent.attempt.target.server;
      info.message = "the call may have run and is not run again";
      info.ran = base::Ran::kUnknown;
      answer.outcome = program::TurnOutcome::kUnknown;
      answer.body = http::ErrorBody(info);
      Finish(open, intent, answer);
    }
  } catch (const base::Error& error) {
    base::LogEvent(
        base::LogLevel::kWarning, "intent_not_settled",
        {{"program", intent.program.text()}, {"error", error.what()}});
  }
  IntentDone(open);
}

// A large result is stored as an object first. Runs on a worker thread.
void Recovery::Finish(const std::shared_ptr<OpenIntents>& open,
                      const program::ProgramAttempt& intent,
                      const program::Answer& answer) {
  const ShardPtr& shard = open->shard;
  program::Answer final = answer;
  auto [incarnation, call] =
      shard->With(intent.program, [](program::Program& program) {
        return std::pair(program.spec().incarnation, program.open_call());
      });
  if (!call)
    return;
  if (final.body.size() > program::kMaxInlineBodyBytes) {
    final.object = program::ProgramCodec::ObjectName(
        intent.program, incarnation, intent.attempt.turn);
    context_.store.PutObject(final.object, final.body);
  }
  shard->Accept(intent.program, intent.attempt.key(), final);
  std::uint64_t revision =
      shard->With(intent.program,
                  [](program::Program& program) { return program.revision(); });
  context_.committer.WhenDurable(
      shard, intent.program, revision,
      [this, intent, final,
       call = *call](const std::optional<base::ErrorInfo>& error) {
        if (error) {
          return context_.waiters.Fail(intent.program, intent.attempt.turn,
                                       *error);
        }
        context_.acknowledger.Add(intent.attempt.target.server,
                                  intent.attempt.target.sidecar_incarnation,
                                  intent.attempt.target.work_token);
        program::TurnRecord record;
        record.turn = intent.attempt.turn;
        record.pool = call.pool;
        record.operation = call.operation;
        record.answer = final;
        TurnAnswer reply = MakeTurnAnswer(intent.program, record, final.body);
        context_.waiters.Finish(intent.program, intent.attempt.turn,
                                reply.status, reply.body);
      });
}

// The call never ran. Its body is not stored, so the caller sends it again.
void Recovery::Withdraw(const ShardPtr& shard,
                        const program::ProgramAttempt& intent) {
  shard->With(intent.program, [&](program::Program& program) {
    program.MarkNotRun(intent.attempt.key());
    program.Withdraw(intent.attempt.turn);
  });
  context_.committer.Wake();
  base::ErrorInfo info;
  info.code = base::ErrorCode::kUnavailable;
  info.step = base::Step::kDispatch;
  info.message = "the former owner of the program died before it sent the call";
  info.retry_after = base::milliseconds(100);
  context_.waiters.Fail(intent.program, intent.attempt.turn, info);
}

void Recovery::IntentDone(const std::shared_ptr<OpenIntents>& open) {
  if (--open->left > 0)
    return;
  for (const Server& server : context_.servers.servers()) {
    server.client->ShardSettled(
        open->shard->shard(), open->shard->fence(), kSettledTimeout,
        [](const protocol::Outcome<protocol::Empty>&) {});
  }
}

}  // namespace vanillalever::entry
