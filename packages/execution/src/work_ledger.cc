#include "vanillalever/execution/work_ledger.h"

#include <iterator>

#include "vanillalever/base/hash.h"

namespace vanillalever::execution {

WorkLedger::WorkLedger(std::string incarnation, WorkLedgerSettings settings)
    : incarnation_(std::move(incarnation)), settings_(settings) {}

Admission WorkLedger::Admit(const WorkKey& key) {
  if (key.incarnation != incarnation_)
    return Admission::kOtherIncarnation;
  if (!AcceptFence(key))
    return Admission::kStaleFence;
  if (auto it = work_items_.find(key.token); it != work_items_.end()) {
    return it->second.state == State::kDone ? Admission::kDone
                                            : Admission::kOpen;
  }
  const auto& closed = shards_[key.shard].closed;
  if (auto it = closed.find(DigestOf(key.token)); it != closed.end())
    return it->second.ran ? Admission::kClosed : Admission::kRevoked;
  if (!HasCapacity(key.repeatable))
    return Admission::kFull;
  work_items_.emplace(key.token, WorkItem{key, State::kQueued, WorkResult()});
  ++open_;
  return Admission::kAccepted;
}

bool WorkLedger::Start(const std::string& token) {
  auto it = work_items_.find(token);
  if (it == work_items_.end() || it->second.state != State::kQueued)
    return false;
  it->second.state = State::kRunning;
  return true;
}

bool WorkLedger::Finish(const std::string& token, WorkResult result) {
  auto it = work_items_.find(token);
  if (it == work_items_.end() || it->second.state != State::kRunning)
    return false;
  it->second.state = State::kDone;
  it->second.result = std::move(result);
  --open_;
  result_bytes_ += it->second.result.body.size();
  return true;
}

bool WorkLedger::Refuse(const std::string& token) {
  auto it = work_items_.find(token);
  if (it == work_items_.end() || it->second.state != State::kQueued)
    return false;
  CloseToken(it->second.key, false);
  EraseWorkItem(it);
  return true;
}

Settlement WorkLedger::Settle(const WorkKey& key) {
  return SettleOrCancel(key, false);
}

Settlement WorkLedger::Cancel(const WorkKey& key) {
  return SettleOrCancel(key, true);
}

const WorkResult* WorkLedger::Result(const std::string& token) const {
  auto it = work_items_.find(token);
  if (it == work_items_.end() || it->second.state != State::kDone)
    return nullptr;
  return &it->second.result;
}

void WorkLedger::Acknowledge(const std::string& token) {
  auto it = work_items_.find(token);
  if (it == work_items_.end() || it->second.state != State::kDone)
    return;
  CloseToken(it->second.key, true);
  EraseWorkItem(it);
}

void WorkLedger::AcknowledgePreviousOwners(std::uint32_t shard,
                                           std::uint64_t fence) {
  if (shards_[shard].fence > fence)
    return;
  for (auto it = work_items_.begin(); it != work_items_.end();) {
    auto next = std::next(it);
    const WorkItem& work = it->second;
    if (work.state == State::kDone && work.key.shard == shard &&
        work.key.fence < fence) {
      CloseToken(work.key, true);
      EraseWorkItem(it);
    }
    it = next;
  }
}

std::size_t WorkLedger::unacknowledged() const {
  std::size_t count = 0;
  for (const auto& [token, work] : work_items_) {
    if (work.state == State::kDone && !IsSuperseded(work))
      ++count;
  }
  return count;
}

WorkLedger::Digest WorkLedger::DigestOf(const std::string& token) {
  return {base::Hash64(token, 0), base::Hash64(token, 1)};
}

bool WorkLedger::AcceptFence(const WorkKey& key) {
  Shard& shard = shards_[key.shard];
  if (key.fence < shard.fence)
    return false;
  if (key.fence > shard.fence) {
    shard.fence = key.fence;
    for (const auto& [digest, closed] : shard.closed)
      closed_ -= closed.repeatable ? 0 : 1;
    shard.closed.clear();
    std::erase_if(closed_repeatable_,
                  [&key](const auto& item) { return item.first == key.shard; });
  }
  return true;
}

Settlement WorkLedger::SettleOrCancel(const WorkKey& key, bool revoke_queued) {
  if (key.incarnation != incarnation_)
    return Settlement::kOtherIncarnation;
  if (!AcceptFence(key))
    return Settlement::kStaleFence;
  if (auto it = work_items_.find(key.token); it != work_items_.end()) {
    if (it->second.state == State::kDone)
      return Settlement::kDone;
    if (!revoke_queued || it->second.state != State::kQueued)
      return Settlement::kRunning;
    CloseToken(it->second.key, false);
    EraseWorkItem(it);
    return Settlement::kRevoked;
  }
  const auto& closed = shards_[key.shard].closed;
  if (auto it = closed.find(DigestOf(key.token)); it != closed.end())
    return it->second.ran ? Settlement::kClosed : Settlement::kRevoked;
  if (!key.repeatable && closed_ >= settings_.max_closed)
    return Settlement::kFull;
  CloseToken(key, false);
  return Settlement::kRevoked;
}

bool WorkLedger::IsSuperseded(const WorkItem& work) const {
  return work.key.repeatable &&
         work.key.fence < shards_.at(work.key.shard).fence;
}

bool WorkLedger::HasCapacity(bool repeatable) {
  if (open_ >= settings_.max_open)
    return false;
  // Any work item may still become a closed token.
  if (!repeatable && closed_ + work_items_.size() >= settings_.max_closed)
    return false;
  auto results_fit = [this] {
    return work_items_.size() < settings_.max_results &&
           result_bytes_ < settings_.max_result_bytes;
  };
  if (!results_fit())
    DropSupersededResults();
  return results_fit();
}

void WorkLedger::DropSupersededResults() {
  for (auto it = work_items_.begin(); it != work_items_.end();) {
    auto next = std::next(it);
    if (it->second.state == State::kDone && IsSuperseded(it->second))
      EraseWorkItem(it);
    it = next;
  }
}

void WorkLedger::CloseToken(const WorkKey& key, bool ran) {
  Shard& shard = shards_[key.shard];
  if (key.fence < shard.fence)
    return;
  Digest digest = DigestOf(key.token);
  if (!shard.closed.emplace(digest, ClosedToken{ran, key.repeatable}).second)
    return;
  if (!key.repeatable) {
    ++closed_;
    return;
  }
  closed_repeatable_.emplace_back(key.shard, digest);
  if (closed_repeatable_.size() <= settings_.max_closed_repeatable)
    return;
  auto [oldest_shard, oldest] = closed_repeatable_.front();
  shards_[oldest_shard].closed.erase(oldest);
  closed_repeatable_.pop_front();
}

void WorkLedger::EraseWorkItem(std::map<std::string, WorkItem>::iterator it) {
  if (it->second.state == State::kDone)
    result_bytes_ -= it->second.result.body.size();
  else
    --open_;
  work_items_.erase(it);
}

}  // namespace vanillalever::execution
