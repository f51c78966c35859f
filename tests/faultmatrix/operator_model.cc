#include "operator_model.h"

#include <memory>
#include <utility>

#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr char kPrefix[] = "config/";
constexpr Duration kRetry = milliseconds(300);

}  // namespace

std::map<std::int64_t, config::ConfigBody> ConfigBodies(
    const std::vector<TableRow>& rows) {
  std::map<std::int64_t, config::ConfigBody> bodies;
  for (const TableRow& row : rows) {
    if (row.key == config::kHeadKey)
      continue;
    config::ConfigBody body = config::DecodeBody(row.value);
    bodies[body.version.number] = std::move(body);
  }
  return bodies;
}

OperatorModel::OperatorModel(World& world, std::string name)
    : world_(world), host_(world.simulator(), name), name_(std::move(name)) {}

void OperatorModel::ReadAll(
    std::function<void(const std::vector<TableRow>&)> then) {
  // Continues with one response only: a late one may follow a retry.
  auto answered = std::make_shared<bool>(false);
  world_.platform().Read(
      host_, kPrefix,
      [then, answered](const std::vector<TableRow>& rows) {
        if (!std::exchange(*answered, true))
          then(rows);
      },
      [this, then, answered](bool) {
        if (std::exchange(*answered, true))
          return;
        host_.After(kRetry, [this, then] { ReadAll(then); });
      });
}

void OperatorModel::Propose(const std::string& object) {
  Proposal proposal;
  proposal.change.token = name_ + "." + std::to_string(++proposals_);
  proposal.change.author = name_;
  proposal.change.reason = "fault matrix";
  config::Priority priority;
  priority.name = object;
  priority.rank = object == "a" ? 0 : 1;
  // A value that no other change has.
  priority.queue_wait = milliseconds(1000 + world_.NextConfigValue());
  proposal.change.put = {priority};
  ReadAll([this, proposal](const std::vector<TableRow>& rows) {
    auto bodies = ConfigBodies(rows);
    Proposal next = proposal;
    if (!bodies.empty()) {
      next.change.base_version = bodies.rbegin()->first;
      next.base = bodies.rbegin()->second.set;
    }
    host_.After(world_.simulator().Between(0, 500),
                [this, next] { Submit(next); });
  });
}

void OperatorModel::Submit(const Proposal& proposal) {
  ReadAll([this, proposal](const std::vector<TableRow>& rows) {
    OnRows(proposal, rows);
  });
}

void OperatorModel::OnRows(const Proposal& proposal,
                           const std::vector<TableRow>& rows) {
  auto bodies = ConfigBodies(rows);
  // An earlier write whose response was lost.
  for (const auto& [number, body] : bodies) {
    if (body.version.token == proposal.change.token) {
      Accept(proposal, number);
      return;
    }
  }
  config::ConfigSet current;
  std::int64_t number = 1;
  if (!bodies.empty()) {
    current = bodies.rbegin()->second.set;
    number = bodies.rbegin()->first + 1;
  }
  auto result = config::Rebase(proposal.base, current, proposal.change);
  if (!result.accepted()) {
    ++refused_;
    return;
  }
  config::ConfigBody body;
  body.set = result.set;
  body.version = {number,
                  name_,
                  "2026-01-01T00:00:00Z",
                  proposal.change.reason,
                  proposal.change.token,
                  result.diff,
                  result.set.BodyHash()};
  std::uint64_t head_version = 0;
  for (const TableRow& row : rows) {
    if (row.key == config::kHeadKey)
      head_version = row.version;
  }
  program::TransactionPlan plan;
  plan.token = proposal.change.token;
  std::string head_key(config::kHeadKey);
  plan.conditions = {{head_key, head_version}, {config::BodyKey(number), 0}};
  plan.writes = {{head_key, config::EncodeHead({number, body.version.body_hash,
                                                proposal.change.token})},
                 {config::BodyKey(number), config::EncodeBody(body)}};
  Write(proposal, plan);
}

void OperatorModel::Write(const Proposal& proposal,
                          const program::TransactionPlan& plan) {
  // Whatever the response says, reading the rows tells what was written.
  world_.platform().Transact(
      host_, plan,
      [this, proposal](const TransactionResult&) { Submit(proposal); },
      [this, proposal](bool) {
        host_.After(kRetry, [this, proposal] { Submit(proposal); });
      });
}

void OperatorModel::Accept(const Proposal& proposal, std::int64_t version) {
  for (const AcceptedChange& known : accepted_) {
    if (known.version == version)
      return;
  }
  accepted_.push_back({proposal.change, version, world_.simulator().now()});
}

}  // namespace vanillalever::faultmatrix
