#ifndef VANILLALEVER_SCHEDULING_ESTIMATED_COMPLETION_PICKER_H_
#define VANILLALEVER_SCHEDULING_ESTIMATED_COMPLETION_PICKER_H_

#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {

struct EstimatedCompletionSettings {
  // Random candidates to compare with the cache holders.
  std::size_t random_candidates = 2;
  // Maximum cache holders to compare, longest prefix first.
  std::size_t max_holders = 2;
  // Weight of the prompt tokens to compute. Recomputing a prefix also delays
  // the other calls on the server and evicts their prefixes, which the
  // completion time of the call itself does not include.
  double recompute_weight = 8;
  // Time constant with which the weight of a report decays in favour of the
  // pool's mean.
  base::Duration report_time_constant = base::seconds(4);
};

// Chooses the lowest estimated completion time among the cache holders and a
// few random candidates.
class EstimatedCompletionPicker final : public ServerPicker {
 public:
  explicit EstimatedCompletionPicker(
      EstimatedCompletionSettings settings = EstimatedCompletionSettings());

  std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                  const CallProfile& call,
                                  base::Random& random) override;

  // Returns the estimated completion time of `call` on `candidate` in seconds.
  // `mean_backlog` is the pool's mean reported backlog (work tokens).
  double Estimate(const Candidate& candidate,
                  const CallProfile& call,
                  double mean_backlog) const;

 private:
  EstimatedCompletionSettings settings_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ESTIMATED_COMPLETION_PICKER_H_
