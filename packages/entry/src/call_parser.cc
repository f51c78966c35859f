#include "call_parser.h"

#include <algorithm>
#include <initializer_list>
#include <string>

#include "vanillalever/base/hash.h"
#include "vanillalever/guard/fingerprint.h"
#include "vanillalever/http/json_body.h"
#include "vanillalever/scheduling/queued_call.h"

namespace vanillalever::entry {
namespace {

using base::ErrorCode;
using base::Step;
using Json = nlohmann::json;

constexpr std::size_t kMaxKeyBytes = 256;
constexpr base::milliseconds kMaxDeadline = std::chrono::minutes(15);
constexpr base::milliseconds kDefaultDeadline = std::chrono::seconds(60);

base::Error InvalidRequest(const std::string& message) {
  return base::NotRunError(ErrorCode::kInvalidRequest, Step::kParse, message);
}

std::string RequiredString(const Json& body, const char* field) {
  auto found = body.find(field);
  if (found == body.end() || !found->is_string() ||
      found->get_ref<const std::string&>().empty())
    throw InvalidRequest(std::string("field '") + field +
                         "' must be a non-empty string");
  return *found;
}

std::string OptionalString(const Json& body, const char* field) {
  return body.contains(field) ? RequiredString(body, field) : "";
}

std::int64_t OptionalNumber(const Json& body,
                            const char* field,
                            std::int64_t fallback) {
  auto found = body.find(field);
  if (found == body.end())
    return fallback;
  if (!found->is_number_integer() || found->get<std::int64_t>() < 1)
    throw InvalidRequest(std::string("field '") + field +
                         "' must be a positive integer");
  return *found;
}

void CheckFields(const Json& body, std::initializer_list<const char*> known) {
  for (const auto& item : body.items()) {
    const std::string& name = item.key();
    bool found = std::any_of(known.begin(), known.end(),
                             [&](const char* k) { return name == k; });
    if (!found)
      throw InvalidRequest("unknown field '" + name + "'");
  }
}

// Maps a priority to a level of the servers' queues, which have only
// kPriorityCount levels: the configured ranks are spread over the levels in
// order.
std::uint32_t PriorityLevel(const config::ConfigSet& set,
                            const std::string& name) {
  const auto* priority = set.Find<config::Priority>(name);
  if (priority == nullptr)
    return scheduling::kPriorityCount - 1;
  std::size_t preceding = 0;
  for (const auto& [other_name, other] : set.priorities())
    preceding += other.rank < priority->rank ? 1 : 0;
  return static_cast<std::uint32_t>(preceding * scheduling::kPriorityCount /
                                    set.priorities().size());
}

}  // namespace

program::CreateRequest CallParser::ParseCreate(const CallerRequest& request) {
  Json body = http::ParseJsonObject(request.body);
  CheckFields(body, {"key", "class", "budget", "parent"});
  program::CreateRequest create;
  create.organisation = request.organisation;
  create.key = RequiredString(body, "key");
  if (create.key.size() > kMaxKeyBytes)
    throw InvalidRequest("field 'key' is longer than " +
                         std::to_string(kMaxKeyBytes) + " bytes");
  create.program_class = RequiredString(body, "class");
  if (std::string parent = OptionalString(body, "parent"); !parent.empty())
    create.parent = program::ProgramId::Parse(parent);
  ConfigView config = config_.Current();
  const config::ConfigSet& set = config.body->set;
  const auto* organisation =
      set.Find<config::Organisation>(request.organisation);
  const auto* program_class =
      set.Find<config::ProgramClass>(create.program_class);
  bool allowed =
      organisation != nullptr && program_class != nullptr &&
      std::find(organisation->classes.begin(), organisation->classes.end(),
                create.program_class) != organisation->classes.end();
  if (!allowed)
    throw base::NotRunError(ErrorCode::kForbidden, Step::kAdmit,
                            "class '" + create.program_class +
                                "' is not one of the organisation's");
  std::int64_t fallback = 0;
  if (const auto* budget =
          set.Find<config::Budget>(program_class->default_budget))
    fallback = budget->tokens;
  create.default_budget = !body.contains("budget");
  create.budget = OptionalNumber(body, "budget", fallback);
  if (create.budget < 1)
    throw InvalidRequest(
        "field 'budget' is required: the class has no default");
  return create;
}

CallPlan CallParser::ParseCall(const ShardPtr& shard,
                               const program::ProgramId& id,
                               const CallerRequest& request) {
  Json body = http::ParseJsonObject(request.body);
  CheckFields(body, {"turn", "pool", "operation", "body", "max_tokens",
                     "deadline_ms", "stream"});
  CallPlan plan;
  plan.id = id;
  plan.organisation = request.organisation;
  auto turn = OptionalNumber(body, "turn", 0);
  if (turn < 1 || turn > INT32_MAX)
    throw InvalidRequest("field 'turn' must be a positive integer");
  plan.call.turn = static_cast<std::uint32_t>(turn);
  plan.call.pool = RequiredString(body, "pool");
  plan.call.operation = RequiredString(body, "operation");
  if (body.contains("stream") && !body["stream"].is_boolean())
    throw InvalidRequest("field 'stream' must be true or false");
  plan.stream = body.value("stream", false);
  if (!body.contains("body"))
    throw InvalidRequest("field 'body' is required");
  plan.body = body["body"].dump();
  shard->With(id, [&](program::Program& program) {
    plan.program_class = program.spec().program_class;
    plan.program_incarnation = program.spec().incarnation;
    plan.program_age = program.elapsed(std::chrono::steady_clock::now());
    plan.in_progress = program.last_turn() > 0;
  });
  ConfigView config = config_.Current();
  const auto* program_class =
      config.body->set.Find<config::ProgramClass>(plan.program_class);
  if (program_class == nullptr)
    throw base::NotRunError(ErrorCode::kForbidden, Step::kAdmit,
                            "class '" + plan.program_class + "' was deleted");
  ResolveLimits(config.body->set, *program_class, body, plan);
  plan.call.fingerprint =
      guard::RequestFingerprint(plan.call.pool, plan.call.operation, plan.body);
  return plan;
}

void CallParser::ResolveLimits(const config::ConfigSet& set,
                               const config::ProgramClass& program_class,
                               const Json& body,
                               CallPlan& plan) {
  const auto& pools = program_class.pools;
  const auto* pool = set.Find<config::Pool>(plan.call.pool);
  if (pool == nullptr ||
      std::find(pools.begin(), pools.end(), plan.call.pool) == pools.end())
    throw base::NotRunError(ErrorCode::kNotFound, Step::kAdmit,
                            "class '" + plan.program_class + "' has no pool '" +
                                plan.call.pool + "'");
  const config::Operation* operation = pool->operation(plan.call.operation);
  if (operation == nullptr)
    throw base::NotRunError(ErrorCode::kNotFound, Step::kAdmit,
                            "pool '" + plan.call.pool + "' has no operation '" +
                                plan.call.operation + "'");
  plan.is_engine = pool->kind == config::PoolKind::kEngine;
  if (plan.is_engine && !body["body"].is_object())
    throw InvalidRequest("field 'body' must be an object for a model engine");
  plan.call.repeatable = operation->repeatable;
  plan.operation_cost = operation->cost_tokens;
  if (plan.is_engine) {
    std::int64_t max_tokens =
        OptionalNumber(body, "max_tokens", pool->max_tokens_per_call);
    plan.max_tokens = static_cast<std::uint32_t>(
        std::min(max_tokens, pool->max_tokens_per_call));
  }
  // A token has at least one byte, so the body's size is an upper bound on its
  // token count.
  plan.call.worst_case_cost = plan.operation_cost + plan.max_tokens;
  if (plan.is_engine)
    plan.call.worst_case_cost += static_cast<std::int64_t>(plan.body.size());
  base::milliseconds fallback = operation->deadline.count() > 0
                                    ? operation->deadline
                                    : program_class.default_deadline;
  if (fallback.count() <= 0)
    fallback = kDefaultDeadline;
  base::milliseconds deadline(
      OptionalNumber(body, "deadline_ms", fallback.count()));
  plan.deadline =
      std::chrono::steady_clock::now() + std::min(deadline, kMaxDeadline);
  plan.priority = PriorityLevel(set, program_class.priority);
  plan.short_work = program_class.short_work;
  plan.class_hash = static_cast<int>(base::Hash64(plan.program_class) >> 33);
}

}  // namespace vanillalever::entry
