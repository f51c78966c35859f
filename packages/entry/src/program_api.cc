#include "program_api.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "turn_answer.h"
#include "vanillalever/http/message.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::entry {
namespace {

using base::ErrorCode;
using base::ExecutionStatus;
using base::Step;
using Json = nlohmann::json;

// By default a child gets at most this fraction (1 / divisor) of its parent's
// available budget.
constexpr std::int64_t kChildBudgetDivisor = 4;
// Maximum number of times that a request is forwarded on its way to the owner.
constexpr std::uint32_t kMaxHops = 2;
// Time limit for the reply to a forwarded request.
constexpr base::Duration kForwardTimeout = std::chrono::minutes(30);
constexpr char kProgramsPath[] = "/v1/programs";

base::ErrorInfo InternalError(const std::exception& error) {
  base::ErrorInfo info;
  info.message = error.what();
  info.step = Step::kAdmit;
  info.ran = ExecutionStatus::kUnknown;
  return info;
}

base::ErrorInfo ForwardError(const std::string& message, ExecutionStatus ran) {
  base::ErrorInfo info;
  info.code = ErrorCode::kUnavailable;
  info.step = Step::kForward;
  info.message = message;
  info.ran = ran;
  info.retry_after = base::milliseconds(200);
  return info;
}

}  // namespace

Json ProgramJson(const program::Program& program) {
  const program::ProgramSpec& spec = program.spec();
  const program::BudgetLedger& budget = program.budget();
  Json json = {{"id", spec.id.text()},
               {"organisation", spec.organisation},
               {"class", spec.program_class},
               {"key", spec.key},
               {"parent", spec.parent.text()},
               {"state", program::kProgramStateNames.name(program.state())},
               {"next_turn", program.last_turn() + 1},
               {"turn_open", program.open_call().has_value()},
               {"children", program.children().size()},
               {"budget",
                {{"limit", budget.limit()},
                 {"spent", budget.spent()},
                 {"reserved", budget.reserved()},
                 {"shared", budget.shared()},
                 {"available", budget.available()}}}};
  return json;
}

ProgramApi::ProgramApi(EntryContext& context,
                       Recovery& recovery,
                       protocol::RpcLoop& loop)
    : context_(context),
      recovery_(recovery),
      loop_(loop),
      parser_(context.config),
      opened_turns_(context.counters.counter("vl_entry_calls_total",
                                             "Turns that were opened.")),
      repeated_turns_(
          context.counters.counter("vl_entry_repeated_calls_total",
                                   "Repeated turns that were answered "
                                   "without running again.")),
      forwarded_(context.counters.counter("vl_entry_forwarded_total",
                                          "Requests passed on to the owner.")) {
}

bool ProgramApi::IsCreate(const CallerRequest& request) {
  return request.path == kProgramsPath && request.method == "POST";
}

ProgramApi::Target ProgramApi::ParsePath(const CallerRequest& request) {
  const std::string prefix = std::string(kProgramsPath) + "/";
  if (!request.path.starts_with(prefix))
    throw base::NotRunError(ErrorCode::kNotFound, Step::kParse,
                            "no route for " + request.path);
  std::string rest = request.path.substr(prefix.size());
  std::size_t slash = rest.find('/');
  Target target;
  target.id = program::ProgramId::Parse(rest.substr(0, slash));
  if (slash != std::string::npos)
    target.action = rest.substr(slash + 1);
  return target;
}

void ProgramApi::Handle(CallerRequest request, const ReplyPtr& reply) {
  try {
    Route(request, reply);
  } catch (const base::Error& error) {
    reply->Fail(error.info());
  } catch (const std::exception& error) {
    reply->Fail(InternalError(error));
  }
}

void ProgramApi::Route(const CallerRequest& request, const ReplyPtr& reply) {
  std::uint32_t shard = 0;
  if (IsCreate(request))
    shard = program::ProgramShard::IdFor(parser_.ParseCreate(request)).shard();
  else
    shard = ParsePath(request).id.shard();
  if (context_.shards.Find(shard) && context_.membership.lease_held())
    return Serve(context_.shards.RequireAdmitting(shard), request, reply);
  Forward(shard, request, reply);
}

void ProgramApi::Serve(const ShardPtr& shard,
                       const CallerRequest& request,
                       const ReplyPtr& reply) {
  if (IsCreate(request)) {
    program::CreateRequest create = parser_.ParseCreate(request);
    return RunBlocking(reply, [this, shard, create, reply] {
      CreateProgram(shard, create, reply);
    });
  }
  Target target = ParsePath(request);
  // Programs in memory are served directly; others are loaded first.
  auto serve = [this, shard, request, reply, target] {
    std::string organisation = shard->With(
        target.id,
        [](program::Program& program) { return program.spec().organisation; });
    bool is_operator_read = request.organisation == kOperatorOrganisation &&
                            request.method == "GET";
    if (organisation != request.organisation && !is_operator_read)
      throw base::NotRunError(ErrorCode::kNotFound, Step::kAuthenticate,
                              "no program " + target.id.text());
    if (request.method == "GET" && target.action.empty())
      return ShowProgram(shard, target.id, reply);
    if (request.method == "GET" && target.action == "history")
      return RunBlocking(reply, [this, shard, target, reply] {
        ShowHistory(shard, target.id, reply);
      });
    if (request.method == "POST" && target.action == "calls")
      return StartCall(shard, target.id, request, reply);
    if (request.method == "POST" && target.action == "cancel")
      return CancelProgram(shard, target.id, reply);
    if (request.method == "POST" && target.action == "end")
      return EndProgram(shard, target.id, reply);
    throw base::NotRunError(
        ErrorCode::kNotFound, Step::kParse,
        "no route for " + request.method + " " + request.path);
  };
  try {
    serve();
  } catch (const base::Error& error) {
    if (error.info().code != ErrorCode::kNotFound ||
        error.info().step == Step::kAuthenticate)
      throw;
    RunBlocking(reply, [this, shard, target, serve] {
      recovery_.LoadProgram(shard, target.id);
      serve();
    });
  }
}

void ProgramApi::RunBlocking(const ReplyPtr& reply, Task task) {
  context_.workers.Post([reply, task = std::move(task)] {
    try {
      task();
    } catch (const base::Error& error) {
      reply->Fail(error.info());
    } catch (const std::exception& error) {
      reply->Fail(InternalError(error));
    }
  });
}

void ProgramApi::CheckUncommittedLimit() const {
  if (context_.committer.uncommitted() <
      context_.settings.max_uncommitted_programs)
    return;
  base::ErrorInfo info;
  info.code = ErrorCode::kUnavailable;
  info.step = Step::kAdmit;
  info.message = "too many changes wait for the platform";
  info.retry_after = base::seconds(1);
  throw base::Error(std::move(info));
}

// A child without an explicit budget gets the default of its class, limited to
// a fraction of its parent's available budget, so that one child cannot exhaust
// the budget of its parent and siblings.
void ProgramApi::LimitChildBudget(const ShardPtr& shard,
                                  program::CreateRequest& create) {
  if (create.parent.empty() || !create.default_budget)
    return;
  std::int64_t available = shard->With(
      create.parent,
      [](program::Program& parent) { return parent.budget().available(); });
  create.budget = std::max<std::int64_t>(
      1, std::min(create.budget, available / kChildBudgetDivisor));
}

void ProgramApi::CreateProgram(const ShardPtr& shard,
                               const program::CreateRequest& request,
                               const ReplyPtr& reply) {
  CheckUncommittedLimit();
  program::CreateRequest create = request;
  create.incarnation = base::RandomId();
  program::ProgramId id = program::ProgramShard::IdFor(create);
  try {
    shard->With(id, [](program::Program&) {});
  } catch (const base::Error& error) {
    if (error.info().code != ErrorCode::kNotFound)
      throw;
    // An ended program is removed from memory, but its key still identifies it
    // in the store.
    recovery_.LoadProgram(shard, id);
  }
  LimitChildBudget(shard, create);
  program::CreateResult result =
      shard->Create(create, std::chrono::steady_clock::now());
  ReplyWhenDurable(shard, result.id, result.revision,
                   result.created ? 201 : 200, reply);
}

void ProgramApi::ReplyWhenDurable(const ShardPtr& shard,
                                  const program::ProgramId& id,
                                  std::uint64_t revision,
                                  int status,
                                  const ReplyPtr& reply) {
  context_.committer.WhenDurable(
      shard, id, revision,
      [shard, id, status, reply](const std::optional<base::ErrorInfo>& error) {
        if (error)
          return reply->Fail(*error);
        try {
          reply->Finish(status, shard
                                    ->With(id,
                                           [](program::Program& program) {
                                             return ProgramJson(program);
                                           })
                                    .dump());
        } catch (const base::Error& shard_error) {
          reply->Fail(shard_error.info());
        }
      });
}

void ProgramApi::StartCall(const ShardPtr& shard,
                           const program::ProgramId& id,
                           const CallerRequest& request,
                           const ReplyPtr& reply) {
  CheckUncommittedLimit();
  Admit(shard, parser_.ParseCall(shard, id, request), reply);
}

void ProgramApi::Admit(const ShardPtr& shard,
                       CallPlan plan,
                       const ReplyPtr& reply) {
  ConfigView config = context_.config.Current();
  program::LoopLimits limits;
  if (const auto* program_class =
          config.body->set.Find<config::ProgramClass>(plan.program_class)) {
    limits.max_turns = static_cast<std::uint32_t>(program_class->limits.turns);
    limits.max_elapsed = program_class->limits.elapsed;
    limits.max_spend = program_class->limits.spend_tokens;
  }
  program::LoopGuard guard(limits);
  // The caller is added as a waiter in the same step as the admission, so that
  // it also gets the answer of a turn that ends immediately.
  program::Admission admission =
      shard->With(plan.id, [&](program::Program& program) {
        program::Admission result =
            program.Admit(plan.call, guard, std::chrono::steady_clock::now());
        bool waits = result.action == program::AdmitAction::kRun ||
                     result.action == program::AdmitAction::kJoin;
        if (waits)
          context_.waiters.Add(plan.id, plan.call.turn, reply);
        return result;
      });
  switch (admission.action) {
    case program::AdmitAction::kRun:
      opened_turns_.Add();
      std::make_shared<CallRunner>(context_, shard, std::move(plan))->Start();
      return;
    case program::AdmitAction::kJoin:
      repeated_turns_.Add();
      return;
    case program::AdmitAction::kAnswer:
      repeated_turns_.Add();
      return RunBlocking(
          reply, [this, plan, reply, record = *admission.record] {
            TurnAnswer answer = MakeTurnAnswer(
                plan.id, record, LoadBody(context_.store, record));
            reply->Finish(answer.status, answer.body);
          });
    case program::AdmitAction::kReadHistory:
      repeated_turns_.Add();
      return RunBlocking(
          reply, [this, plan, reply] { ReplyFromHistory(plan, reply); });
  }
}

void ProgramApi::ReplyFromHistory(const CallPlan& plan, const ReplyPtr& reply) {
  std::string key = program::ProgramCodec::TurnKey(plan.id, plan.call.turn);
  auto row = context_.store.Read(key);
  if (!row)
    throw base::NotRunError(ErrorCode::kInternal, Step::kStore, "missing row",
                            key);
  program::TurnRecord record = program::ProgramCodec::DecodeTurn(
      key, row->value, plan.program_incarnation);
  program::CheckRepeat(plan.call, record);
  TurnAnswer answer =
      MakeTurnAnswer(plan.id, record, LoadBody(context_.store, record));
  reply->Finish(answer.status, answer.body);
}

void ProgramApi::ShowProgram(const ShardPtr& shard,
                             const program::ProgramId& id,
                             const ReplyPtr& reply) {
  Json json = shard->With(
      id, [](program::Program& program) { return ProgramJson(program); });
  reply->Finish(200, json.dump());
}

void ProgramApi::ShowHistory(const ShardPtr& shard,
                             const program::ProgramId& id,
                             const ReplyPtr& reply) {
  std::string incarnation = shard->With(
      id, [](program::Program& program) { return program.spec().incarnation; });
  std::string prefix = program::ProgramCodec::ProgramPrefix(id) + "t/";
  std::map<std::uint32_t, Json> turns;
  for (const platform::Row& row : context_.store.Scan(prefix)) {
    program::TurnRecord record =
        program::ProgramCodec::DecodeTurn(row.key, row.value, incarnation);
    turns[record.turn] = TurnJson(record, LoadBody(context_.store, record));
  }
  Json list = Json::array();
  for (auto& [turn, json] : turns)
    list.push_back(std::move(json));
  reply->Finish(200, Json{{"program", id.text()}, {"turns", list}}.dump(
                         -1, ' ', false, Json::error_handler_t::replace));
}

void ProgramApi::CancelProgram(const ShardPtr& shard,
                               const program::ProgramId& id,
                               const ReplyPtr& reply) {
  for (const program::ProgramAttempt& open_attempt : shard->Cancel(id)) {
    if (auto client =
            context_.servers.ClientFor(open_attempt.attempt.target.server))
      client->Cancel(open_attempt.attempt.target.work_token);
  }
  std::uint64_t revision = shard->With(
      id, [](program::Program& program) { return program.revision(); });
  ReplyWhenDurable(shard, id, revision, 200, reply);
}

void ProgramApi::EndProgram(const ShardPtr& shard,
                            const program::ProgramId& id,
                            const ReplyPtr& reply) {
  std::uint64_t revision = shard->With(id, [](program::Program& program) {
    program.End();
    return program.revision();
  });
  ReplyWhenDurable(shard, id, revision, 200, reply);
}

void ProgramApi::Forward(std::uint32_t shard,
                         const CallerRequest& request,
                         const ReplyPtr& reply) {
  std::string address = context_.membership.OwnerAddress(shard);
  if (address.empty() || request.hops >= kMaxHops) {
    base::ErrorInfo info =
        ForwardError("shard " + std::to_string(shard) + " has no serving owner",
                     ExecutionStatus::kNotRun);
    info.code = ErrorCode::kNotOwner;
    return reply->Fail(info);
  }
  forwarded_.Add();
  protocol::ForwardRequest message;
  message.organisation = request.organisation;
  message.method = request.method;
  message.path = request.path;
  message.body = request.body;
  message.hops = request.hops + 1;
  EntryClientFor(address)->Forward(
      std::move(message), kForwardTimeout,
      [reply](const protocol::StreamChunk& piece) {
        if (piece.reset)
          reply->SendReset();
        if (!piece.text.empty())
          reply->SendToken(piece.text);
      },
      [reply](protocol::Outcome<protocol::ForwardResult> outcome) {
        if (outcome.error) {
          base::ErrorInfo info = *outcome.error;
          info.step = Step::kForward;
          info.retry_after = base::milliseconds(200);
          return reply->Fail(info);
        }
        if (outcome.value.error)
          return reply->Fail(*outcome.value.error);
        reply->Finish(static_cast<int>(outcome.value.status),
                      std::move(outcome.value.body));
      });
}

std::shared_ptr<protocol::NodeClient> ProgramApi::EntryClientFor(
    const std::string& address) {
  std::lock_guard lock(mutex_);
  auto& client = clients_[address];
  if (!client) {
    client = std::make_shared<protocol::NodeClient>(
        loop_,
        protocol::NodeClientSettings{address, context_.settings.shared_key});
  }
  return client;
}

void ProgramApi::Stop() {
  std::map<std::string, std::shared_ptr<protocol::NodeClient>> clients;
  std::lock_guard lock(mutex_);
  clients.swap(clients_);
}

}  // namespace vanillalever::entry
