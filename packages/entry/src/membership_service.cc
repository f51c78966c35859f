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
      taken_(counters.counter("vl_entry_shards_taken_total",
                              "Shards taken over.")),
      handed_over_(counters.counter("vl_entry_shards_handed_over_total",
                                    "Shards handed over.")),
      lost_(counters.counter("vl_entry_leases_lost_total",
                             "Times that this entry's lease was lost.")),
      renewals_(counters.counter("vl_entry_lease_renewals_total",
                                 "Lease renewals that took effect.")),
      term_(settings),
      observer_(settings),
      map_(program::kShardCount) {
  self_.incarnation = base::RandomId();
}

void MembershipService::SetAddress(std::string address,
                                   std::string data_centre) {
  std::lock_guard lock(mutex_);
  self_.address = std::move(address);
  self_.data_center = std::move(data_centre);
}

void MembershipService::SetTakenCallback(TakenCallback callback) {
  on_taken_ = std::move(callback);
}

void MembershipService::SetHandedOverCallback(HandedOverCallback callback) {
  on_handed_over_ = std::move(callback);
}

void MembershipService::ScanSoon() {
  std::lock_guard lock(mutex_);
  last_scan_.reset();
}

void MembershipService::Step() {
  if (left())
    return;
  try {
    Renew();
    Scan();
    DropLostShards();
    AdoptShards();
    ActOnPlan();
  } catch (const base::Error&) {
    std::lock_guard lock(mutex_);
    observer_.ReadFailed();
  }
}

// A lost lease is final for its incarnation: shards are dropped, and a new row
// is created.
void MembershipService::StartIncarnation() {
  base::LogEvent(base::LogLevel::kWarning, "lease_lost",
                 {{"incarnation", incarnation()}});
  lost_.Add();
  for (const ShardPtr& shard : shards_.all())
    shards_.Drop(shard->shard());
  std::lock_guard lock(mutex_);
  self_.incarnation = base::RandomId();
  self_.version = 0;
  created_ = false;
  term_ = membership::LeaseTerm(settings_);
  frozen_.clear();
  loaded_.clear();
  first_loaded_.clear();
  doubtful_tokens_.clear();
}

bool MembershipService::WriteSelf(EntryState state) {
  EntryRow row;
  {
    std::lock_guard lock(mutex_);
    row = self_;
  }
  row.state = state;
  platform::Transaction transaction;
  transaction.token = base::RandomId();
  transaction.conditions = {{EntryKey(row.incarnation), row.version}};
  transaction.writes = {{EntryKey(row.incarnation), EncodeEntryRow(row)}};
  auto result =
      commit_.Run(transaction, clock_.now() + settings_.renew_interval);
  if (result.outcome == platform::CommitOutcome::kConflict)
    return AdoptOwnRow(row.incarnation);
  if (result.outcome != platform::CommitOutcome::kApplied) {
    doubtful_tokens_.insert(transaction.token);
    return false;
  }
  doubtful_tokens_.clear();
  renewals_.Add();
  std::lock_guard lock(mutex_);
  created_ = true;
  self_.state = state;
  self_.version = result.version;
  return true;
}

// After a conflict: the row is still this entry's if one of its own renewals,
// whose answer was lost, wrote it; the next renewal then builds on it. Else
// another entry has fenced it.
bool MembershipService::AdoptOwnRow(const std::string& incarnation) {
  auto stored = store_.Read(EntryKey(incarnation));
  std::lock_guard lock(mutex_);
  if (stored && doubtful_tokens_.contains(stored->token))
    self_.version = stored->version;
  else
    term_.Lose();
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
  bool written = WriteSelf(state);
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
    StartIncarnation();
}

void MembershipService::Scan() {
  base::TimePoint sent = clock_.now();
  {
    std::lock_guard lock(mutex_);
    if (last_scan_ && sent - *last_scan_ < settings_.renew_interval / 2)
      return;
    last_scan_ = sent;
  }
  std::vector<EntryRow> entries;
  for (const platform::Row& row : store_.Scan(kEntryPrefix))
    entries.push_back(DecodeEntryRow(row));
  base::TimePoint arrived = clock_.now();
  std::vector<ShardRow> shards;
  for (const platform::Row& row : store_.Scan(kShardPrefix))
    shards.push_back(DecodeShardRow(row));
  std::lock_guard lock(mutex_);
  observer_.ReadSucceeded(sent, arrived, entries);
  for (const ShardRow& row : shards)
    map_.Update(row);
}

// The rows are the authority: what another entry owns now is not served here.
void MembershipService::DropLostShards() {
  std::string self = incarnation();
  for (const ShardPtr& shard : shards_.all()) {
    bool owned = false;
    {
      std::lock_guard lock(mutex_);
      const ShardRow& row = map_.row(shard->shard());
      owned = row.owner == self && row.fence == shard->fence();
    }
    if (!owned)
      shards_.Drop(shard->shard());
  }
}

// Loads shards that the rows give to this entry, taken or handed over.
void MembershipService::AdoptShards() {
  std::vector<ShardRow> rows;
  {
    std::lock_guard lock(mutex_);
    if (!term_.held(clock_.now()))
      return;
    for (std::uint32_t shard : map_.owned(self_.incarnation)) {
      const ShardRow& row = map_.row(shard);
      if (std::exchange(loaded_[shard], row.fence) == row.fence)
        continue;
      rows.push_back(row);
      // Loaded once more after a failed hand-over: this entry has served it.
      bool first = std::exchange(first_loaded_[shard], row.fence) != row.fence;
      rows.back().handed_over = row.handed_over && first;
    }
  }
  for (const ShardRow& row : rows) {
    taken_.Add();
    on_taken_(row);
  }
}

void MembershipService::ActOnPlan() {
  membership::ShardPlan plan;
  {
    std::lock_guard lock(mutex_);
    if (!term_.held(clock_.now()) || !observer_.ready())
      return;
    EntryRow self = self_;
    if (leaving_)
      self.state = EntryState::kLeaving;
    plan = map_.Plan(self, observer_);
  }
  TakeShards(plan.take);
  HandOver(plan.hand_over);
  std::lock_guard lock(mutex_);
  if (!leaving_ || !map_.owned(self_.incarnation).empty())
    return;
  left_ = true;
}

bool MembershipService::FenceOwner(const std::string& incarnation) {
  EntryRow row;
  {
    std::lock_guard lock(mutex_);
    if (const EntryRow* known = observer_.Find(incarnation))
      row = *known;
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
  map_.Update(written);
  return true;
}

void MembershipService::TakeShards(
    const std::vector<membership::ShardTake>& takes) {
  std::set<std::string> fenced;
  std::set<std::string> not_fenced;
  for (const membership::ShardTake& take : takes) {
    const std::string& owner = take.row.owner;
    if (take.fence_owner_first && !fenced.contains(owner)) {
      if (not_fenced.contains(owner) || !FenceOwner(owner)) {
        not_fenced.insert(owner);
        continue;
      }
      fenced.insert(owner);
    }
    ShardRow after = take.row;
    {
      std::lock_guard lock(mutex_);
      if (!term_.held(clock_.now()))
        return;
      after.owner = self_.incarnation;
      after.address = self_.address;
    }
    after.fence = take.row.fence + 1;
    // Nobody served a shard that was handed over to nobody.
    after.handed_over = owner.empty() && take.row.handed_over;
    WriteShard(take.row, after);
  }
  AdoptShards();
}

// Hands over shards without calls under way; the others are frozen, so that
// they become idle, and come up again at the next step.
void MembershipService::HandOver(
    const std::vector<membership::ShardHandOver>& moves) {
  std::set<std::uint32_t> wanted;
  std::map<std::string, std::vector<std::uint32_t>> moved;
  for (const membership::ShardHandOver& move : moves) {
    std::uint32_t number = move.row.shard;
    wanted.insert(number);
    shards_.Freeze(number, true);
    ShardPtr shard = shards_.Find(number);
    if (shard && (shards_.calls(number) > 0 || shard->changed() > 0))
      continue;
    ShardRow after = move.row;
    after.owner = move.to.incarnation;
    after.address = move.to.address;
    after.fence = move.row.fence + 1;
    shards_.Drop(number);
    // A call that came in after the check may have been sent.
    after.handed_over = shard != nullptr && shards_.calls(number) == 0;
    if (WriteShard(move.row, after)) {
      handed_over_.Add();
      moved[after.address].push_back(number);
    }
    // After a failed write this entry may own the shard still: load it again.
    std::lock_guard lock(mutex_);
    loaded_.erase(number);
  }
  for (std::uint32_t number : frozen_) {
    if (!wanted.contains(number))
      shards_.Freeze(number, false);
  }
  frozen_ = std::move(wanted);
  for (const auto& [address, numbers] : moved) {
    if (!address.empty())
      on_handed_over_(address, numbers);
  }
}

void MembershipService::BeginLeave() {
  std::lock_guard lock(mutex_);
  leaving_ = true;
}

bool MembershipService::left() const {
  std::lock_guard lock(mutex_);
  return left_;
}

bool MembershipService::lease_held() const {
  std::lock_guard lock(mutex_);
  return term_.held(clock_.now());
}

std::string MembershipService::incarnation() const {
  std::lock_guard lock(mutex_);
  return self_.incarnation;
}

std::string MembershipService::OwnerAddress(std::uint32_t shard) const {
  std::lock_guard lock(mutex_);
  const ShardRow& row = map_.row(shard);
  return row.owner == self_.incarnation ? "" : row.address;
}

std::vector<membership::EntryRow> MembershipService::entries() const {
  std::lock_guard lock(mutex_);
  return observer_.active();
}

}  // namespace vanillalever::entry
