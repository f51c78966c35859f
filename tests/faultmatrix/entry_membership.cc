#include <algorithm>
#include <utility>

#include "entry_model.h"
#include "vanillalever/program/program_codec.h"
#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

using membership::EntryState;
using program::RecordBatch;
using program::TransactionPlan;

constexpr Duration kRetry = milliseconds(200);

// Rows of entries and shards, as text with fields separated by "|".
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

EntryModel::EntryModel(World& world,
                       std::string address,
                       std::string incarnation)
    : world_(world),
      host_(world.simulator(), address),
      lease_(world.lease_settings()),
      observer_(world.lease_settings()),
      map_(program::kShardCount),
      instances_(world.instance_settings()),
      strikes_(world.strike_settings()),
      config_(std::make_unique<config::ConfigHolder>()) {
  self_.incarnation = std::move(incarnation);
  self_.address = std::move(address);
}

bool EntryModel::LeaseHeld() const {
  return !world_.rule(Rule::kFencing) || lease_.held(world_.simulator().now());
}

std::string EntryModel::NewToken() {
  return self_.incarnation + "." + std::to_string(++tokens_);
}

EntryModel::Shard* EntryModel::Owned(const ProgramId& id) {
  auto it = shards_.find(id.shard());
  return it == shards_.end() || !it->second.ready ? nullptr : &it->second;
}

bool EntryModel::Try(const ProgramId& id,
                     const std::function<void(program::Program&)>& function) {
  Shard* shard = Owned(id);
  if (shard == nullptr)
    return false;
  std::vector<ProgramId> ids = shard->programs->ids();
  if (!std::binary_search(ids.begin(), ids.end(), id))
    return false;
  shard->programs->With(id, function);
  return true;
}

void EntryModel::Start() {
  last_tick_ = world_.simulator().now();
  host_.Every(milliseconds(250), [this] { Tick(); });
  host_.Every(milliseconds(400), [this] { Observe(); });
  host_.Every(milliseconds(500), [this] { PollReports(); });
  host_.Every(milliseconds(700), [this] { PollInstances(); });
  host_.Every(seconds(2), [this] { PollConfig(); });
  host_.Every(seconds(1), [this] { PollStrikes(); });
  PollConfig();
  Tick();
  Observe();
  PollInstances();
}

void EntryModel::Stop() {
  if (std::exchange(stopping_, true))
    return;
  if (!world_.rule(Rule::kDrain)) {
    world_.NoteStop(host_, open_requests_);
    world_.RestartEntry(*this);
    return;
  }
  self_.state = EntryState::kLeaving;
  Renew();
}

void EntryModel::Tick() {
  TimePoint now = world_.simulator().now();
  // After a pause the configuration is refreshed before a call is admitted.
  if (now - last_tick_ > seconds(1)) {
    config_fresh_ = false;
    resumed_at_ = now;
    PollConfig();
  }
  last_tick_ = now;
  if (lease_.RenewalDue(now))
    Renew();
  SettleTick();
  AckTick();
  ReleaseTick();
  std::set<ProgramId> ids;
  for (const auto& [key, call] : calls_)
    ids.insert(key.first);
  for (const auto& [id, waiting] : durable_waiting_)
    ids.insert(id);
  for (const ProgramId& id : ids)
    Advance(id);
  for (auto& [number, shard] : shards_) {
    if (shard.ready)
      ClearFormer(number);
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
  auto renewal = lease_.BeginRenewal(world_.simulator().now());
  SendRenewal(plan, renewal);
}

void EntryModel::SendRenewal(const TransactionPlan& plan,
                             membership::LeaseTerm::Renewal renewal) {
  world_.platform().Transact(
      host_, plan,
      [this, plan, renewal](const TransactionResult& result) {
        if (result.applied)
          Renewed(renewal, result.version);
        else
          RenewalReadBack(plan, renewal);
      },
      [this, plan, renewal](bool) {
        host_.After(kRetry,
                    [this, plan, renewal] { SendRenewal(plan, renewal); });
      });
}

void EntryModel::RenewalReadBack(const TransactionPlan& plan,
                                 membership::LeaseTerm::Renewal renewal) {
  world_.platform().Read(
      host_, EntryKey(self_.incarnation),
      [this, plan, renewal](const std::vector<TableRow>& rows) {
        if (!rows.empty() && rows[0].token == plan.token) {
          Renewed(renewal, rows[0].version);
          return;
        }
        // A late response to an earlier renewal: a later one was applied.
        if (!rows.empty() && rows[0].token.starts_with(self_.incarnation + "."))
          return;
        lease_.Lose();
        Restart();
      },
      [this, plan, renewal](bool) {
        host_.After(kRetry,
                    [this, plan, renewal] { RenewalReadBack(plan, renewal); });
      });
}

void EntryModel::Renewed(membership::LeaseTerm::Renewal renewal,
                         std::uint64_t version) {
  lease_.Confirm(renewal);
  self_.version = std::max(self_.version, version);
  renewing_ = false;
}

void EntryModel::Restart() {
  world_.RestartEntry(*this);
}

// --- Shards ------------------------------------------------------------------

void EntryModel::Observe() {
  if (std::exchange(observing_, true))
    return;
  TimePoint sent = world_.simulator().now();
  auto failed = [this](bool) {
    observing_ = false;
    observer_.ReadFailed();
  };
  world_.platform().Read(
      host_, "shard/",
      [this, sent, failed](const std::vector<TableRow>& shards) {
        OnShardRows(shards);
        world_.platform().Read(
            host_, "entry/",
            [this, sent](const std::vector<TableRow>& rows) {
              observing_ = false;
              std::vector<membership::EntryRow> entries;
              entries.reserve(rows.size());
              for (const TableRow& row : rows)
                entries.push_back(ParseEntry(row));
              observer_.ReadSucceeded(sent, world_.simulator().now(), entries);
              ActOnPlan();
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
    bool mine = row.owner == self_.incarnation;
    if (held != shards_.end() && (!mine || held->second.version != row.version))
      DropShard(number);
    if (mine && shards_.count(number) == 0)
      Recover(number, row);
  }
}

void EntryModel::ActOnPlan() {
  if (acting_ || !lease_.held(world_.simulator().now()))
    return;
  membership::ShardPlan plan = map_.Plan(self_, observer_);
  std::set<std::uint32_t> leaving;
  for (const membership::ShardHandOver& hand_over : plan.hand_over)
    leaving.insert(hand_over.row.shard);
  for (auto& [number, shard] : shards_)
    shard.quiesced = leaving.count(number) > 0;
  if (!plan.take.empty()) {
    acting_ = true;
    Take(plan, 0);
    return;
  }
  for (const membership::ShardHandOver& hand_over : plan.hand_over) {
    if (Idle(hand_over.row.shard))
      HandOver(hand_over);
  }
}

void EntryModel::Take(const membership::ShardPlan& plan, std::size_t next) {
  auto finish = [this](bool) { acting_ = false; };
  std::set<std::string> owners;
  for (const membership::ShardTake& take : plan.take) {
    if (take.fence_owner_first)
      owners.insert(take.row.owner);
  }
  // First fences the rows of ended owners, one transaction each.
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
    world_.platform().Transact(
        host_, fence,
        [this, plan, next, finish](const TransactionResult& result) {
          if (result.applied)
            Take(plan, next + 1);
          else
            finish(false);
        },
        finish);
    return;
  }
  TransactionPlan take_all;
  take_all.token = NewToken();
  for (const membership::ShardTake& take : plan.take) {
    std::string key = RecordBatch::ShardKey(take.row.shard);
    take_all.conditions.push_back({key, take.row.version});
    take_all.writes.push_back({key, ShardValue(self_, take.row.fence + 1)});
  }
  // Whatever the response says, the next read of the rows tells who owns them.
  world_.platform().Transact(
      host_, take_all, [finish](const TransactionResult&) { finish(true); },
      finish);
}

void EntryModel::HandOver(const membership::ShardHandOver& hand_over) {
  TransactionPlan plan;
  plan.token = NewToken();
  std::string key = RecordBatch::ShardKey(hand_over.row.shard);
  plan.conditions = {{key, hand_over.row.version}};
  plan.writes = {{key, ShardValue(hand_over.to, hand_over.row.fence + 1)}};
  acting_ = true;
  auto finish = [this](bool) { acting_ = false; };
  world_.platform().Transact(
      host_, plan, [finish](const TransactionResult&) { finish(true); },
      finish);
}

void EntryModel::Recover(std::uint32_t number,
                         const membership::ShardRow& row) {
  Shard shard;
  shard.version = row.version;
  shard.programs = std::make_unique<program::ProgramShard>(
      program::ShardCondition{number, row.version}, row.fence,
      program::ProgramShardSettings{400, 2, 32});
  shard.recovery = ++recoveries_;
  shards_[number] = std::move(shard);
  // A response may arrive after this recovery was given up for another one.
  auto pending = [this, number, recovery = recoveries_] {
    auto it = shards_.find(number);
    return it != shards_.end() && it->second.recovery == recovery &&
           !it->second.ready;
  };
  world_.platform().Read(
      host_, program::ProgramCodec::ShardPrefix(number),
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
  TimePoint now = world_.simulator().now();
  for (const auto& [id, program_rows] : grouped)
    shard.programs->Insert(program::ProgramCodec::Recover(program_rows, now));
  shard.ready = true;
  for (const auto& [id, attempt] : shard.programs->FinishRecovery()) {
    shard.former_intents.insert(attempt.target.work_token);
    if (world_.rule(Rule::kSettle))
      settling_[attempt.target.work_token] = {id, attempt, false};
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
  std::erase_if(settling_, [number](const auto& item) {
    return item.second.program.shard() == number;
  });
  // Revisions start again when the shard is read again. What is then still an
  // open intent is settled before its result is acknowledged.
  for (auto& [token, ack] : acks_) {
    if (ack.program.shard() == number)
      ack.revision = 0;
  }
  for (const Respond& respond : waiting)
    Reply(respond, lost);
}

bool EntryModel::Idle(std::uint32_t number) const {
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
             settling_.begin(), settling_.end(),
             [&](const auto& it) { return in_shard(it.second.program); }) &&
         std::none_of(
             acks_.begin(), acks_.end(),
             [&](const auto& it) { return in_shard(it.second.program); }) &&
         std::none_of(durable_waiting_.begin(), durable_waiting_.end(),
                      [&](const auto& it) { return in_shard(it.first); });
}

void EntryModel::ExitIfDone() {
  if (!stopping_ || !map_.owned(self_.incarnation).empty() || acting_ ||
      open_requests_ > 0) {
    idle_ticks_ = 0;
    return;
  }
  // Requests may still be on their way from entries with older shard rows.
  if (++idle_ticks_ < 4)
    return;
  world_.NoteStop(host_, open_requests_);
  world_.RestartEntry(*this);
}

}  // namespace vanillalever::faultmatrix
