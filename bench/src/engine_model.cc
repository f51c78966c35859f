#include "engine_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace vanillalever::bench {
namespace {

// Remaining tokens below which a phase has ended; absorbs rounding errors.
constexpr double kEpsilon = 1e-6;

// Pinned share of the KV memory from which on no further call is started.
constexpr double kMaxPinnedMemoryShare = 0.85;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::size_t EngineModel::prefilling() const {
  return static_cast<std::size_t>(std::count_if(
      calls_.begin(), calls_.end(), [](const RunningCall& running) {
        return running.prefill_left > kEpsilon;
      }));
}

EngineModel::Rates EngineModel::CurrentRates() const {
  Rates rates{.prefill_call = calls_.size()};
  std::size_t decoding = 0;
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i].prefill_left <= kEpsilon) {
      ++decoding;
      continue;
    }
    if (rates.prefill_call == calls_.size() ||
        calls_[i].call.priority < calls_[rates.prefill_call].call.priority)
      rates.prefill_call = i;
  }
  double share = 0;
  if (rates.prefill_call < calls_.size())
    share = decoding > 0 ? settings_.prefill_share : 1;
  rates.prefill = speed_ * share * settings_.prefill_rate;
  if (decoding > 0) {
    double step =
        settings_.base_step_seconds +
        settings_.step_seconds_per_call * static_cast<double>(decoding);
    rates.decode = speed_ * (1 - share) / step;
  }
  return rates;
}

void EngineModel::Advance(base::TimePoint now) {
  double elapsed = Seconds(now - now_);
  if (elapsed > 0 && !calls_.empty()) {
    Rates rates = CurrentRates();
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      RunningCall& running = calls_[i];
      if (i == rates.prefill_call) {
        double computed =
            std::min(running.prefill_left, elapsed * rates.prefill);
        running.prefill_left -= computed;
        work_done_ += computed;
        if (running.prefill_left <= kEpsilon) {
          running.first_token = now;
          first_tokens_.push_back({.id = running.call.id, .time = now});
        }
      } else if (running.prefill_left <= kEpsilon) {
        double computed = std::min(running.decode_left, elapsed * rates.decode);
        running.decode_left -= computed;
        work_done_ += scheduling::kDecodeWeight * computed;
      }
    }
    busy_ += now - now_;
  }
  now_ = std::max(now_, now);
  for (std::size_t i = calls_.size(); i-- > 0;) {
    if (calls_[i].prefill_left <= kEpsilon && calls_[i].decode_left <= kEpsilon)
      FinishCall(i);
  }
}

std::optional<base::TimePoint> EngineModel::NextEvent() const {
  if (calls_.empty())
    return std::nullopt;
  Rates rates = CurrentRates();
  double seconds = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    const RunningCall& running = calls_[i];
    if (i == rates.prefill_call)
      seconds = std::min(seconds, running.prefill_left / rates.prefill);
    else if (running.prefill_left <= kEpsilon)
      seconds = std::min(seconds, running.decode_left / rates.decode);
  }
  // Rounded up, so that the phase is complete when the event is handled.
  return now_ + base::Duration(static_cast<std::int64_t>(seconds * 1e9) + 1);
}

double EngineModel::Start(const EngineCall& call, base::TimePoint now) {
  Advance(now);
  auto [found, added] = cache_.try_emplace(call.program);
  CacheEntry& entry = found->second;
  if (added)
    entry.recency = recency_.insert(recency_.end(), call.program);
  double cached = std::min(entry.tokens, call.prompt_tokens);
  if (++entry.pins == 1)
    pinned_total_ += entry.tokens;
  double total_tokens = call.prompt_tokens + call.output_tokens;
  if (double growth = total_tokens - entry.tokens; growth > 0) {
    entry.tokens += growth;
    cached_total_ += growth;
    pinned_total_ += growth;
  }
  recency_.splice(recency_.end(), recency_, entry.recency);
  Evict();
  // At least one token must be computed to sample the first output token.
  double prefill = std::max(1.0, call.prompt_tokens - cached);
  calls_.push_back({.call = call,
                    .prefill_left = prefill,
                    .decode_left = std::max(1.0, call.output_tokens)});
  return prefill;
}

void EngineModel::Evict() {
  auto next = recency_.begin();
  while (cached_total_ > settings_.kv_capacity && next != recency_.end()) {
    auto found = cache_.find(*next);
    if (found->second.pins > 0) {
      ++next;
      continue;
    }
    cached_total_ -= found->second.tokens;
    changes_.push_back({.program = *next, .tokens = 0, .time = now_});
    cache_.erase(found);
    next = recency_.erase(next);
  }
}

void EngineModel::Unpin(const EngineCall& call, double tokens) {
  auto found = cache_.find(call.program);
  CacheEntry& entry = found->second;
  if (--entry.pins > 0)
    return;
  pinned_total_ -= entry.tokens;
  cached_total_ += tokens - entry.tokens;
  entry.tokens = tokens;
  changes_.push_back({.program = call.program, .tokens = tokens, .time = now_});
  Evict();
}

void EngineModel::FinishCall(std::size_t position) {
  RunningCall running = calls_[position];
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(position));
  double tokens = running.call.prompt_tokens + running.call.output_tokens;
  Unpin(running.call, tokens);
  results_.push_back({.id = running.call.id,
                      .first_token = running.first_token,
                      .cached_tokens = CachedTokens(running.call.program)});
}

bool EngineModel::Cancel(std::uint64_t id, base::TimePoint now) {
  Advance(now);
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i].call.id != id)
      continue;
    RunningCall running = calls_[i];
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(i));
    Unpin(running.call, running.call.prompt_tokens - running.prefill_left);
    return true;
  }
  return false;
}

std::vector<EngineResult> EngineModel::TakeResults() {
  return std::exchange(results_, {});
}

std::vector<FirstToken> EngineModel::TakeFirstTokens() {
  return std::exchange(first_tokens_, {});
}

std::vector<CacheChange> EngineModel::TakeCacheChanges() {
  return std::exchange(changes_, {});
}

void EngineModel::SetSpeed(double speed, base::TimePoint now) {
  Advance(now);
  speed_ = speed;
}

void EngineModel::Release(scheduling::ProgramKey program, base::TimePoint now) {
  Advance(now);
  auto found = cache_.find(program);
  if (found == cache_.end() || found->second.pins > 0)
    return;
  cached_total_ -= found->second.tokens;
  recency_.erase(found->second.recency);
  cache_.erase(found);
}

std::vector<std::uint64_t> EngineModel::Crash(base::TimePoint now) {
  Advance(now);
  std::vector<std::uint64_t> ids;
  for (const RunningCall& running : calls_)
    ids.push_back(running.call.id);
  calls_.clear();
  cache_.clear();
  recency_.clear();
  cached_total_ = 0;
  pinned_total_ = 0;
  return ids;
}

double EngineModel::CachedTokens(scheduling::ProgramKey program) const {
  auto found = cache_.find(program);
  return found == cache_.end() ? 0 : found->second.tokens;
}

std::vector<std::pair<scheduling::ProgramKey, double>>
EngineModel::cached_programs() const {
  std::vector<std::pair<scheduling::ProgramKey, double>> list;
  for (const auto& [program, entry] : cache_)
    list.emplace_back(program, entry.tokens);
  return list;
}

bool EngineModel::HasFreeMemory() const {
  return calls_.empty() ||
         pinned_total_ < kMaxPinnedMemoryShare * settings_.kv_capacity;
}

std::vector<EngineModel::Progress> EngineModel::progress() const {
  std::vector<Progress> list;
  for (const RunningCall& running : calls_) {
    double produced =
        std::max(1.0, running.call.output_tokens) - running.decode_left;
    list.push_back({.id = running.call.id,
                    .prefill_left = running.prefill_left,
                    .produced = produced});
  }
  return list;
}

}  // namespace vanillalever::bench
