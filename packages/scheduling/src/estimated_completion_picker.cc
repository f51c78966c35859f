#include "vanillalever/scheduling/estimated_completion_picker.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::scheduling {
namespace {

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Tracks the candidate with the lowest estimate. Ties are broken at random, so
// that several processes do not all choose the first server.
class LowestEstimate {
 public:
  explicit LowestEstimate(base::Random& random) : random_(random) {}

  void Add(std::size_t index, double estimate) {
    if (index_ && (*index_ == index || estimate > estimate_))
      return;
    if (index_ && estimate == estimate_ && random_.Below(++ties_) != 0)
      return;
    if (!index_ || estimate < estimate_)
      ties_ = 1;
    index_ = index;
    estimate_ = estimate;
  }

  std::optional<std::size_t> index() const { return index_; }

 private:
  base::Random& random_;
  std::optional<std::size_t> index_;
  double estimate_ = 0;
  std::uint64_t ties_ = 1;
};

}  // namespace

EstimatedCompletionPicker::EstimatedCompletionPicker(
    EstimatedCompletionSettings settings)
    : settings_(settings) {}

double EstimatedCompletionPicker::Estimate(const Candidate& candidate,
                                           const CallProfile& call,
                                           double mean_backlog) const {
  double report_weight = std::exp(-Seconds(candidate.report_age) /
                                  Seconds(settings_.report_time_constant));
  double backlog = report_weight * candidate.backlog_tokens +
                   (1 - report_weight) * mean_backlog;
  double decode_work = kDecodeWeight * call.output_tokens;
  double prefill_work = WorkTokens(call, candidate.server) - decode_work;
  double work = backlog + candidate.sent_tokens +
                settings_.recompute_weight * prefill_work + decode_work;
  double rate =
      std::max(1.0, candidate.service_rate) / std::max(1.0, candidate.slowness);
  return work / rate + 2 * Seconds(candidate.distance);
}

std::optional<std::size_t> EstimatedCompletionPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& random) {
  double total_backlog = 0;
  for (const Candidate& candidate : candidates)
    total_backlog += candidate.backlog_tokens;
  double mean_backlog =
      candidates.empty()
          ? 0
          : total_backlog / static_cast<double>(candidates.size());

  LowestEstimate lowest(random);
  std::size_t holder_count =
      std::min(settings_.max_holders, call.holders.size());
  for (std::size_t h = 0; h < holder_count; ++h) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const Candidate& candidate = candidates[i];
      if (candidate.server == call.holders[h].server &&
          IsEligible(candidate, call))
        lowest.Add(i, Estimate(candidate, call, mean_backlog));
    }
  }
  std::size_t sampled = 0;
  // The number of random draws is limited; the scan below finds a server if
  // only a few are eligible.
  for (std::size_t attempts = 0;
       sampled < settings_.random_candidates &&
       attempts < 8 * settings_.random_candidates && !candidates.empty();
       ++attempts) {
    std::size_t i = random.Below(candidates.size());
    if (!IsEligible(candidates[i], call))
      continue;
    lowest.Add(i, Estimate(candidates[i], call, mean_backlog));
    ++sampled;
  }
  if (lowest.index())
    return lowest.index();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (IsEligible(candidates[i], call))
      lowest.Add(i, Estimate(candidates[i], call, mean_backlog));
  }
  return lowest.index();
}

}  // namespace vanillalever::scheduling
