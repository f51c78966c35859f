#include "membership_service.h"

#include <thread>
#include <utility>

#include "membership_rows.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/base/random.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::entry {
namespace {

using membership::EntryRow;
using membership::EntryState;
using membership::ShardRow;

}  // namespace

MembershipService::MembershipService(platform::PlatformStore& store,
                                     ShardHost& shards,
                                     const membership::LeaseSettings& settings,
                                     base::CounterRegistry& counters)
    : store_(store),
      shards_(shards),
      settings_(settings),
      commit_(store,
              clock_,
              [](base::Duration pause) { std::this_thread::sleep_for(pause); }),
      taken_over_(counters.counter("vl_entry_shards_taken_total",
                                   "Shards taken over.")),
      handed_over_(counters.counter("vl_entry_shards_handed_over_total",
                                    "Shards handed over.")),
      lost_leases_(counters.counter("vl_entry_leases_lost_total",
                                    "Times that this entry's lease was lost.")),
      renewals_(counters.counter("vl_entry_lease_renewals_total",
                                 "Lease renewals that took effect.")),
      term_(settings),
      observer_(settings),
      shard_map_(program::kShardCount) {
  self_row_.incarnation = base::RandomId();
}

void MembershipService::SetAddress(std::string address,
                                   std::string data_centre) {
  std::lock_guard lock(mutex_);
  self_row_.address = std::move(address);
  self_row_.data_centre = std::move(data_centre);
}

void MembershipService::SetTakenOverCallback(TakenOverCallback callback) {
  on_taken_over_ = std::move(callback);
}

void MembershipService::SetHandedOverCallback(HandedOverCallback callback) {
  on_handed_over_ = std::move(callback);
}

void MembershipService::RequestScan() {
  std::lock_guard lock(mutex_);
  last_scan_.reset();
}

void MembershipService::Step() {
  if (has_left())
    return;
  try {
    Renew();
    Scan();
    DropUnownedShards();
    LoadOwnedShards();
    ExecuteShardPlan();
  } catch (const base::Error&) {
    std::lock_guard lock(mutex_);
    observer_.OnReadFailed();
  }
}

// An incarnation cannot regain a lost lease: drops all shards and starts a new
// incarnation with a new row.
void MembershipService::StartNewIncarnation() {
  base::LogEvent(base::LogLevel::kWarning, "lease_lost",
                 {{"incarnation", incarnation()}});
  lost_leases_.Add();
  for (const ShardPtr& shard : shards_.all())
    shards_.Drop(shard->shard());
  std::lock_guard lock(mutex_);
  self_row_.incarnation = base::RandomId();
  self_row_.version = 0;
  created_ = false;
  term_ = membership::LeaseTerm(settings_);
  frozen_shards_.clear();
  loaded_fences_.clear();
  served_fences_.clear();
  undecided_renewal_tokens_.clear();
}

bool MembershipService::WriteEntryRow(EntryState state) {
  EntryRow row;
  {
    std::lock_guard lock(mutex_);
    row = self_row_;
  }
  row.state = state;
  platform::Transaction transaction;
  transaction.token = base::RandomId();
  transaction.conditions = {{EntryKey(row.incarnation), row.version}};
  transaction.writes = {{EntryKey(row.incarnation), EncodeEntryRow(row)}};
  auto result =
      commit_.Run(transaction, clock_.now() + settings_.renew_interval);
  if (result.outcome == platform::CommitOutcome::kConflict)
    return ResolveRenewalConflict(row.incarnation);
  if (result.outcome != platform::CommitOutcome::kApplied) {
    undecided_renewal_tokens_.insert(transaction.token);
    return false;
  }
  undecided_renewal_tokens_.clear();
  renewals_.Add();
  std::lock_guard lock(mutex_);
  created_ = true;
  self_row_.state = state;
  self_row_.version = result.version;
  return true;
}

// After a conflict, reads the row back. If a renewal of this entry whose reply
// was lost wrote it, the next renewal continues from its version; otherwise
// another entry has fenced this one.
bool MembershipService::ResolveRenewalConflict(const std::string& incarnation) {
  auto stored = store_.Read(EntryKey(incarnation));
  std::lock_guard lock(mutex_);
  if (stored && undecided_renewal_tokens_.contains(stored->token))
    self_row_.version = stored->version;
  else
    term_.MarkLost();
  return false;
}

void MembershipService::Renew() {
  base::TimePoint now = clock_.now();
  membership::LeaseTerm::Renewal renewal = 0;
  EntryState state = EntryState::kActive;
  {
    std::lock_guard lock(mutex_);
    if (!term_.RenewalDue(now))
      return;
    renewal = term_.BeginRenewal(now);
    state = leaving_ ? EntryState::kLeaving : EntryState::kActive;
  }
  bool written = WriteEntryRow(state);
  bool lost = false;
  {
    std::lock_guard lock(mutex_);
    if (written)
      term_.Confirm(renewal);
    else
      term_.Abandon(renewal);
    lost = term_.lost();
  }
  if (lost)
    StartNewIncarnation();
}

void MembershipService::Scan() {
  base::TimePoint requested = clock_.now();
  {
    std::lock_guard lock(mutex_);
    if (last_scan_ && requested - *last_scan_ < settings_.renew_interval / 2)
      return;
    last_scan_ = requested;
  }
  std::vector<EntryRow> entries;
  for (const platform::Row& row : store_.Scan(kEntryPrefix))
    entries.push_back(DecodeEntryRow(row));
  base::TimePoint received = clock_.now();
  std::vector<ShardRow> shards;
  for (const platform::Row& row : store_.Scan(kShardPrefix))
    shards.push_back(DecodeShardRow(row));
  std::lock_guard lock(mutex_);
  observer_.OnReadSucceeded(requested, received, entries);
  for (const ShardRow& row : shards)
    shard_map_.Update(row);
}

// The stored rows are authoritative: drops shards that another entry owns now.
void MembershipService::DropUnownedShards() {
  std::string self = incarnation();
  for (const ShardPtr& shard : shards_.all()) {
    bool owned = false;
    {
      std::lock_guard lock(mutex_);
      const ShardRow& row = shard_map_.row(shard->shard());
      owned = row.owner == self && row.fence == shard->fence();
    }
    if (!owned)
      shards_.Drop(shard->shard());
  }
}

// Loads shards that this entry owns according to the rows, whether it took them
// over or received them in a hand-over.
void MembershipService::LoadOwnedShards() {
  std::vector<ShardRow> rows;
  {
    std::lock_guard lock(mutex_);
    if (!term_.held(clock_.now()))
      return;
    for (std::uint32_t shard : shard_map_.owned(self_row_.incarnation)) {
      const ShardRow& row = shard_map_.row(shard);
      if (std::exchange(loaded_fences_[shard], row.fence) == row.fence)
        continue;
      rows.push_back(row);
      // If the shard is loaded again after a failed hand-over, this entry has
      // served it in the meantime.
      bool first = std::exchange(served_fences_[shard], row.fence) != row.fence;
      rows.back().handed_over = row.handed_over && first;
    }
  }
  for (const ShardRow& row : rows) {
    taken_over_.Add();
    on_taken_over_(row);
  }
}

void MembershipService::ExecuteShardPlan() {
  membership::ShardPlan plan;
  {
    std::lock_guard lock(mutex_);
    if (!term_.held(clock_.now()) || !observer_.ready())
      return;
    EntryRow self = self_row_;
    if (leaving_)
      self.state = EntryState::kLeaving;
    plan = shard_map_.Plan(self, observer_);
  }
  TakeOverShards(plan.takeovers);
  HandOverShards(plan.handovers);
  std::lock_guard lock(mutex_);
  if (!leaving_ || !shard_map_.owned(self_row_.incarnation).empty())
    return;
  has_left_ = true;
}

bool MembershipService::FenceOwner(const std::string& incarnation) {
  EntryRow row;
  {
    std::lock_guard lock(mutex_);
    if (const EntryRow* observed = observer_.Find(incarnation))
      row = *observed;
    else
      row.incarnation = incarnation;
  }
  row.state = EntryState::kFenced;
  platform::Transaction transaction;
  transaction.token = base::RandomId();
  transaction.conditions = {{EntryKey(incarnation), row.version}};
  transaction.writes = {{EntryKey(incarnation), EncodeEntryRow(row)}};
  auto result =
      commit_.Run(transaction, clock_.now() + settings_.renew_interval);
  bool fenced = result.outcome == platform::CommitOutcome::kApplied;
  if (fenced) {
    base::LogEvent(base::LogLevel::kWarning, "entry_fenced",
                   {{"incarnation", incarnation}, {"address", row.address}});
  }
  return fenced;
}

bool MembershipService::WriteShard(const ShardRow& before,
                                   const ShardRow& after) {
  std::string key = program::RecordBatch::ShardKey(before.shard);
  platform::Transaction transaction;
  transaction.token = base::RandomId();
  transaction.conditions = {{key, before.version}};
  transaction.writes = {{key, EncodeShardRow(after)}};
  auto result =
      commit_.Run(transaction, clock_.now() + settings_.renew_interval);
  if (result.outcome != platform::CommitOutcome::kApplied)
    return false;
  ShardRow written = after;
  written.version = result.version;
  std::lock_guard lock(mutex_);
  shard_map_.Update(written);
  return true;
}

void MembershipService::TakeOverShards(
    const std::vector<membership::ShardTakeover>& takes) {
  std::set<std::string> fenced;
  std::set<std::string> fencing_failed;
  for (const membership::ShardTakeover& take : takes) {
    const std::string& owner = take.row.owner;
    if (take.fence_owner_first && !fenced.contains(owner)) {
      if (fencing_failed.contains(owner) || !FenceOwner(owner)) {
        fencing_failed.insert(owner);
        continue;
      }
      fenced.insert(owner);
    }
    ShardRow after = take.row;
    {
      std::lock_guard lock(mutex_);
      if (!term_.held(clock_.now()))
        return;
      after.owner = self_row_.incarnation;
      after.address = self_row_.address;
    }
    after.fence = take.row.fence + 1;
    // A shard that was handed over without a new owner has not been served
    // since.
    after.handed_over = owner.empty() && take.row.handed_over;
    WriteShard(take.row, after);
  }
  LoadOwnedShards();
}

// Hands over shards without calls in progress. The others are frozen so that
// they become idle, and are retried in the next step.
void MembershipService::HandOverShards(
    const std::vector<membership::ShardHandover>& hand_overs) {
  std::set<std::uint32_t> pending;
  std::map<std::string, std::vector<std::uint32_t>> handed_over_by_address;
  for (const membership::ShardHandover& hand_over : hand_overs) {
    std::uint32_t shard_id = hand_over.row.shard;
    pending.insert(shard_id);
    shards_.SetFrozen(shard_id, true);
    ShardPtr shard = shards_.Find(shard_id);
    if (shard && (shards_.active_calls(shard_id) > 0 || shard->changed() > 0))
      continue;
    ShardRow after = hand_over.row;
    after.owner = hand_over.new_owner.incarnation;
    after.address = hand_over.new_owner.address;
    after.fence = hand_over.row.fence + 1;
    shards_.Drop(shard_id);
    // A call that arrived after the check above may have been sent.
    after.handed_over = shard != nullptr && shards_.active_calls(shard_id) == 0;
    if (WriteShard(hand_over.row, after)) {
      handed_over_.Add();
      handed_over_by_address[after.address].push_back(shard_id);
    }
    // If the write failed, this entry may still own the shard: load it again.
    std::lock_guard lock(mutex_);
    loaded_fences_.erase(shard_id);
  }
  for (std::uint32_t shard_id : frozen_shards_) {
    if (!pending.contains(shard_id))
      shards_.SetFrozen(shard_id, false);
  }
  frozen_shards_ = std::move(pending);
  for (const auto& [address, shard_ids] : handed_over_by_address) {
    if (!address.empty())
      on_handed_over_(address, shard_ids);
  }
}

void MembershipService::BeginLeaving() {
  std::lock_guard lock(mutex_);
  leaving_ = true;
}

bool MembershipService::has_left() const {
  std::lock_guard lock(mutex_);
  return has_left_;
}

bool MembershipService::lease_held() const {
  std::lock_guard lock(mutex_);
  return term_.held(clock_.now());
}

std::string MembershipService::incarnation() const {
  std::lock_guard lock(mutex_);
  return self_row_.incarnation;
}

std::string MembershipService::OwnerAddress(std::uint32_t shard) const {
  std::lock_guard lock(mutex_);
  const ShardRow& row = shard_map_.row(shard);
  return row.owner == self_row_.incarnation ? "" : row.address;
}

std::vector<membership::EntryRow> MembershipService::entries() const {
  std::lock_guard lock(mutex_);
  return observer_.active();
}

}  // namespace vanillalever::entry
