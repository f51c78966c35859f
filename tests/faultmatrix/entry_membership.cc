#include <algorithm>
#include <utility>

#include "cluster.h"
#include "entry_model.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::faultmatrix {

namespace {

using membership::EntryState;
using program::RecordBatch;
using program::TransactionPlan;

constexpr Duration kRetryDelay = milliseconds(200);

// Splits the value of an entry or shard row at "|".
std::vector<std::string> Fields(const std::string& value) {
  std::vector<std::string> fields(1);
  for (char c : value) {
    if (c == '|')
      fields.emplace_back();
    else
      fields.back() += c;
  }
  return fields;
}

std::string EntryKey(const std::string& incarnation) {
  return "entry/" + incarnation;
}

std::string EntryValue(const membership::EntryRow& row) {
  return row.address + "|" +
         std::string(membership::kEntryStateNames.name(row.state));
}

membership::EntryRow ParseEntry(const TableRow& row) {
  std::vector<std::string> fields = Fields(row.value);
  membership::EntryRow entry;
  entry.incarnation = row.key.substr(std::string("entry/").size());
  entry.address = fields.at(0);
  entry.state = *membership::kEntryStateNames.value(fields.at(1));
  entry.version = row.version;
  return entry;
}

std::string ShardValue(const membership::EntryRow& owner, std::uint64_t fence) {
  return owner.incarnation + "|" + owner.address + "|" + std::to_string(fence);
}

membership::ShardRow ParseShard(const TableRow& row) {
  std::vector<std::string> fields = Fields(row.value);
  membership::ShardRow shard;
  shard.shard = static_cast<membership::ShardId>(
      std::stoul(row.key.substr(std::string("shard/").size())));
  shard.owner = fields.at(0);
  shard.address = fields.at(1);
  shard.fence = std::stoull(fields.at(2));
  shard.version = row.version;
  return shard;
}

}  // namespace

EntryModel::EntryModel(Cluster& cluster,
                       std::string address,
                       std::string incarnation)
    : cluster_(cluster),
      process_(cluster.simulator(), address),
      lease_(cluster.lease_settings()),
      observer_(cluster.lease_settings()),
      map_(program::kShardCount),
      instances_(cluster.instance_settings()),
      strikes_(cluster.strike_settings()),
      config_(std::make_unique<config::ConfigHolder>()) {
  self_.incarnation = std::move(incarnation);
  self_.address = std::move(address);
}

bool EntryModel::LeaseHeld() const {
  return !cluster_.enabled(Safeguard::kFencing) ||
         lease_.held(cluster_.simulator().now());
}

std::string EntryModel::NewToken() {
  return self_.incarnation + "." + std::to_string(++token_count_);
}

EntryModel::Shard* EntryModel::OwnedShard(const ProgramId& id) {
  auto it = shards_.find(id.shard());
  return it == shards_.end() || !it->second.ready ? nullptr : &it->second;
}

bool EntryModel::WithProgram(
    const ProgramId& id,
    const std::function<void(program::Program&)>& function) {
  Shard* shard = OwnedShard(id);
  if (shard == nullptr)
    return false;
  std::vector<ProgramId> ids = shard->programs->ids();
  if (!std::binary_search(ids.begin(), ids.end(), id))
    return false;
  shard->programs->With(id, function);
  return true;
}

void EntryModel::Start() {
  last_tick_ = cluster_.simulator().now();
  process_.ScheduleEvery(milliseconds(250), [this] { Tick(); });
  process_.ScheduleEvery(milliseconds(400), [this] { ReadOwnership(); });
  process_.ScheduleEvery(milliseconds(500), [this] { PollReports(); });
  process_.ScheduleEvery(milliseconds(700), [this] { PollInstances(); });
  process_.ScheduleEvery(seconds(2), [this] { PollConfig(); });
  process_.ScheduleEvery(seconds(1), [this] { PollStrikes(); });
  PollConfig();
  Tick();
  ReadOwnership();
  PollInstances();
}

void EntryModel::Stop() {
  if (std::exchange(stopping_, true))
    return;
  if (!cluster_.enabled(Safeguard::kDrain)) {
    cluster_.RecordPlannedStop(process_, open_requests_);
    cluster_.RestartEntry(*this);
    return;
  }
  self_.state = EntryState::kLeaving;
  Renew();
}

void EntryModel::Tick() {
  TimePoint now = cluster_.simulator().now();
  // After a pause, calls are refused until the configuration is refreshed.
  if (now - last_tick_ > seconds(1)) {
    config_fresh_ = false;
    resumed_at_ = now;
    PollConfig();
  }
  last_tick_ = now;
  if (lease_.RenewalDue(now))
    Renew();
  SettlePending();
  SendAcknowledgements();
  SendPendingReleases();
  std::set<ProgramId> ids;
  for (const auto& [key, call] : calls_)
    ids.insert(key.first);
  for (const auto& [id, waiting] : durable_waiting_)
    ids.insert(id);
  for (const ProgramId& id : ids)
    SendDurableReplies(id);
  for (auto& [number, shard] : shards_) {
    if (shard.ready)
      AcknowledgePreviousOwners(number);
  }
  ExitIfDone();
}

// --- Lease -------------------------------------------------------------------

void EntryModel::Renew() {
  if (std::exchange(renewing_, true))
    return;
  TransactionPlan plan;
  plan.token = NewToken();
  plan.conditions = {{EntryKey(self_.incarnation), self_.version}};
  plan.writes = {{EntryKey(self_.incarnation), EntryValue(self_)}};
  auto renewal = lease_.BeginRenewal(cluster_.simulator().now());
  SendRenewal(plan, renewal);
}

void EntryModel::SendRenewal(const TransactionPlan& plan,
                             membership::LeaseTerm::Renewal renewal) {
  cluster_.platform().Transact(
      process_, plan,
      [this, plan, renewal](const TransactionResult& result) {
        if (result.applied)
          OnRenewed(renewal, result.version);
        else
          ReadBackRenewal(plan, renewal);
      },
      [this, plan, renewal](bool) {
        process_.Schedule(
            kRetryDelay, [this, plan, renewal] { SendRenewal(plan, renewal); });
      });
}

void EntryModel::ReadBackRenewal(const TransactionPlan& plan,
                                 membership::LeaseTerm::Renewal renewal) {
  cluster_.platform().Read(
      process_, EntryKey(self_.incarnation),
      [this, plan, renewal](const std::vector<TableRow>& rows) {
        if (!rows.empty() && rows[0].token == plan.token) {
          OnRenewed(renewal, rows[0].version);
          return;
        }
        // A delayed response to an earlier renewal; a later one was applied.
        if (!rows.empty() && rows[0].token.starts_with(self_.incarnation + "."))
          return;
        lease_.MarkLost();
        Restart();
      },
      [this, plan, renewal](bool) {
        process_.Schedule(kRetryDelay, [this, plan, renewal] {
          ReadBackRenewal(plan, renewal);
        });
      });
}

void EntryModel::OnRenewed(membership::LeaseTerm::Renewal renewal,
                           std::uint64_t version) {
  lease_.Confirm(renewal);
  self_.version = std::max(self_.version, version);
  renewing_ = false;
}

void EntryModel::Restart() {
  cluster_.RestartEntry(*this);
}

// --- Shards ------------------------------------------------------------------

void EntryModel::ReadOwnership() {
  if (std::exchange(reading_ownership_, true))
    return;
  TimePoint sent = cluster_.simulator().now();
  auto failed = [this](bool) {
    reading_ownership_ = false;
    observer_.OnReadFailed();
  };
  cluster_.platform().Read(
      process_, "shard/",
      [this, sent, failed](const std::vector<TableRow>& shards) {
        OnShardRows(shards);
        cluster_.platform().Read(
            process_, "entry/",
            [this, sent](const std::vector<TableRow>& rows) {
              reading_ownership_ = false;
              std::vector<membership::EntryRow> entries;
              entries.reserve(rows.size());
              for (const TableRow& row : rows)
                entries.push_back(ParseEntry(row));
              observer_.OnReadSucceeded(sent, cluster_.simulator().now(),
                                        entries);
              ApplyShardPlan();
            },
            failed);
      },
      failed);
}

void EntryModel::OnShardRows(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows)
    map_.Update(ParseShard(row));
  for (std::uint32_t number = 0; number < map_.shard_count(); ++number) {
    const membership::ShardRow& row = map_.row(number);
    auto held = shards_.find(number);
    bool owned = row.owner == self_.incarnation;
    if (held != shards_.end() &&
        (!owned || held->second.version != row.version))
      DropShard(number);
    if (owned && shards_.count(number) == 0)
      RecoverShard(number, row);
  }
}

void EntryModel::ApplyShardPlan() {
  if (changing_ownership_ || !lease_.held(cluster_.simulator().now()))
    return;
  membership::ShardPlan plan = map_.Plan(self_, observer_);
  std::set<std::uint32_t> leaving;
  for (const membership::ShardHandover& hand_over : plan.handovers)
    leaving.insert(hand_over.row.shard);
  for (auto& [number, shard] : shards_)
    shard.quiesced = leaving.count(number) > 0;
  if (!plan.takeovers.empty()) {
    changing_ownership_ = true;
    TakeShards(plan, 0);
    return;
  }
  for (const membership::ShardHandover& hand_over : plan.handovers) {
    if (ShardIdle(hand_over.row.shard))
      HandOver(hand_over);
  }
}

void EntryModel::TakeShards(const membership::ShardPlan& plan,
                            std::size_t next) {
  auto finish = [this](bool) { changing_ownership_ = false; };
  std::set<std::string> owners;
  for (const membership::ShardTakeover& take : plan.takeovers) {
    if (take.fence_owner_first)
      owners.insert(take.row.owner);
  }
  // The rows of owners with expired leases are fenced first, one transaction
  // each.
  if (next < owners.size()) {
    std::string owner = *std::next(owners.begin(), static_cast<long>(next));
    const membership::EntryRow* known = observer_.Find(owner);
    membership::EntryRow fenced;
    if (known != nullptr)
      fenced = *known;
    fenced.state = EntryState::kFenced;
    TransactionPlan fence;
    fence.token = NewToken();
    fence.conditions = {{EntryKey(owner), fenced.version}};
    fence.writes = {{EntryKey(owner), EntryValue(fenced)}};
    cluster_.platform().Transact(
        process_, fence,
        [this, plan, next, finish](const TransactionResult& result) {
          if (result.applied)
            TakeShards(plan, next + 1);
          else
            finish(false);
        },
        finish);
    return;
  }
  TransactionPlan take_all;
  take_all.token = NewToken();
  for (const membership::ShardTakeover& take : plan.takeovers) {
    std::string key = RecordBatch::ShardKey(take.row.shard);
    take_all.conditions.push_back({key, take.row.version});
    take_all.writes.push_back({key, ShardValue(self_, take.row.fence + 1)});
  }
  // Ownership is taken from the next read of the rows, not from the response.
  cluster_.platform().Transact(
      process_, take_all, [finish](const TransactionResult&) { finish(true); },
      finish);
}

void EntryModel::HandOver(const membership::ShardHandover& hand_over) {
  TransactionPlan plan;
  plan.token = NewToken();
  std::string key = RecordBatch::ShardKey(hand_over.row.shard);
  plan.conditions = {{key, hand_over.row.version}};
  plan.writes = {
      {key, ShardValue(hand_over.new_owner, hand_over.row.fence + 1)}};
  changing_ownership_ = true;
  auto finish = [this](bool) { changing_ownership_ = false; };
  cluster_.platform().Transact(
      process_, plan, [finish](const TransactionResult&) { finish(true); },
      finish);
}

void EntryModel::RecoverShard(std::uint32_t number,
                              const membership::ShardRow& row) {
  Shard shard;
  shard.version = row.version;
  shard.programs = std::make_unique<program::ProgramShard>(
      program::ShardCondition{number, row.version}, row.fence,
      program::ProgramShardSettings{400, 2, 32});
  shard.recovery = ++recoveries_;
  shards_[number] = std::move(shard);
  // A response may arrive after another recovery has replaced this one.
  auto pending = [this, number, recovery = recoveries_] {
    auto it = shards_.find(number);
    return it != shards_.end() && it->second.recovery == recovery &&
           !it->second.ready;
  };
  cluster_.platform().Read(
      process_, program::ProgramCodec::ShardPrefix(number),
      [this, number, pending](const std::vector<TableRow>& rows) {
        if (pending())
          FinishRecovery(number, rows);
      },
      [this, number, pending](bool) {
        if (pending())
          shards_.erase(number);
      });
}

void EntryModel::FinishRecovery(std::uint32_t number,
                                const std::vector<TableRow>& rows) {
  Shard& shard = shards_[number];
  std::map<ProgramId, std::vector<program::StoredRow>> grouped;
  for (const TableRow& row : rows) {
    ProgramId id = program::ProgramCodec::ParseKey(row.key).id;
    grouped[id].push_back({row.key, row.value, row.version});
  }
  TimePoint now = cluster_.simulator().now();
  for (const auto& [id, program_rows] : grouped)
    shard.programs->Insert(program::ProgramCodec::Recover(program_rows, now));
  shard.ready = true;
  for (const auto& [id, attempt] : shard.programs->FinishRecovery()) {
    shard.previous_owner_intents.insert(attempt.target.work_token);
    if (cluster_.enabled(Safeguard::kSettleIntents))
      pending_settlements_[attempt.target.work_token] = {id, attempt, false};
    else
      OnNotRun(id, attempt.key());
  }
  ScheduleCommit();
}

void EntryModel::DropShard(std::uint32_t number) {
  auto node = shards_.extract(number);
  if (!node)
    return;
  node.mapped().programs->Drop();
  CallerReply lost;
  lost.error.code = base::ErrorCode::kNotOwner;
  lost.error.ran = base::ExecutionStatus::kUnknown;
  std::vector<Respond> waiting;
  for (auto it = calls_.begin(); it != calls_.end();) {
    auto next = std::next(it);
    if (it->first.first.shard() == number) {
      waiting.insert(waiting.end(), it->second.waiting.begin(),
                     it->second.waiting.end());
      calls_.erase(it);
    }
    it = next;
  }
  for (auto it = durable_waiting_.begin(); it != durable_waiting_.end();) {
    auto next = std::next(it);
    if (it->first.shard() == number) {
      waiting.push_back(it->second.second);
      durable_waiting_.erase(it);
    }
    it = next;
  }
  std::erase_if(pending_settlements_, [number](const auto& item) {
    return item.second.program.shard() == number;
  });
  // Revisions restart when the shard is recovered. Intents that are still open
  // then are settled before their results are acknowledged.
  for (auto& [token, ack] : pending_acknowledgements_) {
    if (ack.program.shard() == number)
      ack.revision = 0;
  }
  for (const Respond& respond : waiting)
    Reply(respond, lost);
}

bool EntryModel::ShardIdle(std::uint32_t number) const {
  auto in_shard = [number](const ProgramId& id) {
    return id.shard() == number;
  };
  auto held = shards_.find(number);
  if (held == shards_.end() || !held->second.ready || batch_)
    return false;
  return held->second.programs->changed() == 0 &&
         std::none_of(
             calls_.begin(), calls_.end(),
             [&](const auto& it) { return in_shard(it.first.first); }) &&
         std::none_of(
             pending_settlements_.begin(), pending_settlements_.end(),
             [&](const auto& it) { return in_shard(it.second.program); }) &&
         std::none_of(
             pending_acknowledgements_.begin(), pending_acknowledgements_.end(),
             [&](const auto& it) { return in_shard(it.second.program); }) &&
         std::none_of(durable_waiting_.begin(), durable_waiting_.end(),
                      [&](const auto& it) { return in_shard(it.first); });
}

void EntryModel::ExitIfDone() {
  if (!stopping_ || !map_.owned(self_.incarnation).empty() ||
      changing_ownership_ || open_requests_ > 0) {
    idle_ticks_ = 0;
    return;
  }
  // Requests from entries with outdated shard rows may still arrive.
  if (++idle_ticks_ < 4)
    return;
  cluster_.RecordPlannedStop(process_, open_requests_);
  cluster_.RestartEntry(*this);
}

}  // namespace vanillalever::faultmatrix
