#include "vanillalever/scheduling/estimated_completion_picker.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::scheduling {
namespace {

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Running comparison of estimates. Ties are broken at random, so that several
// processes do not all choose the first server.
class Best {
 public:
  explicit Best(base::Random& random) : random_(random) {}

  void Offer(std::size_t index, double estimate) {
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
  double trust = std::exp(-Seconds(candidate.report_age) /
                          Seconds(settings_.report_lifetime));
  double backlog =
      trust * candidate.backlog_tokens + (1 - trust) * mean_backlog;
  double generate = kDecodeWeight * call.output_tokens;
  double compute = WorkTokens(call, candidate.server) - generate;
  double work = backlog + candidate.sent_tokens +
                settings_.recompute_weight * compute + generate;
  double rate =
      std::max(1.0, candidate.service_rate) / std::max(1.0, candidate.slowness);
  return work / rate + 2 * Seconds(candidate.distance);
}

std::optional<std::size_t> EstimatedCompletionPicker::Pick(
    std::span<const Candidate> candidates,
    const CallProfile& call,
    base::Random& random) {
  double sum = 0;
  for (const Candidate& candidate : candidates)
    sum += candidate.backlog_tokens;
  double mean =
      candidates.empty() ? 0 : sum / static_cast<double>(candidates.size());

  Best best(random);
  std::size_t holders = std::min(settings_.holders, call.holders.size());
  for (std::size_t h = 0; h < holders; ++h) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const Candidate& candidate = candidates[i];
      if (candidate.server == call.holders[h].server &&
          Eligible(candidate, call))
        best.Offer(i, Estimate(candidate, call, mean));
    }
  }
  std::size_t compared = 0;
  // Random positions are tried a bounded number of times; the scan below finds
  // an eligible server where only few are left.
  for (std::size_t tries = 0;
       compared < settings_.samples && tries < 8 * settings_.samples &&
       !candidates.empty();
       ++tries) {
    std::size_t i = random.Below(candidates.size());
    if (!Eligible(candidates[i], call))
      continue;
    best.Offer(i, Estimate(candidates[i], call, mean));
    ++compared;
  }
  if (best.index())
    return best.index();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (Eligible(candidates[i], call))
      best.Offer(i, Estimate(candidates[i], call, mean));
  }
  return best.index();
}

}  // namespace vanillalever::scheduling
