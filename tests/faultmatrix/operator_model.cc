#include "operator_model.h"

#include <memory>
#include <utility>

#include "cluster.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr char kConfigPrefix[] = "config/";
constexpr Duration kRetryDelay = milliseconds(300);

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

OperatorModel::OperatorModel(Cluster& cluster, std::string name)
    : cluster_(cluster),
      process_(cluster.simulator(), name),
      name_(std::move(name)) {}

void OperatorModel::ReadConfigRows(
    std::function<void(const std::vector<TableRow>&)> then) {
  // Uses one response only; a late one may arrive after a retry.
  auto answered = std::make_shared<bool>(false);
  cluster_.platform().Read(
      process_, kConfigPrefix,
      [then, answered](const std::vector<TableRow>& rows) {
        if (!std::exchange(*answered, true))
          then(rows);
      },
      [this, then, answered](bool) {
        if (std::exchange(*answered, true))
          return;
        process_.Schedule(kRetryDelay, [this, then] { ReadConfigRows(then); });
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
  // A unique value shows which change is in force.
  priority.queue_wait = milliseconds(1000 + cluster_.NextConfigValue());
  proposal.change.put = {priority};
  ReadConfigRows([this, proposal](const std::vector<TableRow>& rows) {
    auto bodies = ConfigBodies(rows);
    Proposal next = proposal;
    if (!bodies.empty()) {
      next.change.base_version = bodies.rbegin()->first;
      next.base = bodies.rbegin()->second.set;
    }
    process_.Schedule(cluster_.simulator().RandomDuration(0, 500),
                      [this, next] { Submit(next); });
  });
}

void OperatorModel::Submit(const Proposal& proposal) {
  ReadConfigRows([this, proposal](const std::vector<TableRow>& rows) {
    OnRows(proposal, rows);
  });
}

void OperatorModel::OnRows(const Proposal& proposal,
                           const std::vector<TableRow>& rows) {
  auto bodies = ConfigBodies(rows);
  // An earlier write was applied and its response lost.
  for (const auto& [number, body] : bodies) {
    if (body.version.token == proposal.change.token) {
      RecordAccepted(proposal, number);
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
  CommitProposal(proposal, plan);
}

void OperatorModel::CommitProposal(const Proposal& proposal,
                                   const program::TransactionPlan& plan) {
  // The outcome is read from the rows, not taken from the response.
  cluster_.platform().Transact(
      process_, plan,
      [this, proposal](const TransactionResult&) { Submit(proposal); },
      [this, proposal](bool) {
        process_.Schedule(kRetryDelay, [this, proposal] { Submit(proposal); });
      });
}

void OperatorModel::RecordAccepted(const Proposal& proposal,
                                   std::int64_t version) {
  for (const AcceptedChange& known : accepted_) {
    if (known.version == version)
      return;
  }
  accepted_.push_back({proposal.change, version, cluster_.simulator().now()});
}

}  // namespace vanillalever::faultmatrix
