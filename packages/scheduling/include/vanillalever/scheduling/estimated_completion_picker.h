#ifndef VANILLALEVER_SCHEDULING_ESTIMATED_COMPLETION_PICKER_H_
#define VANILLALEVER_SCHEDULING_ESTIMATED_COMPLETION_PICKER_H_

#include "vanillalever/scheduling/server_picker.h"

namespace vanillalever::scheduling {

// Settings of EstimatedCompletionPicker.
struct EstimatedCompletionSettings {
  // Random candidates compared with the cache holders.
  std::size_t samples = 2;
  // Cache holders compared, longest prefix first.
  std::size_t holders = 2;
  // Factor on the prompt tokens to compute. Recomputing a prefix also delays
  // the other calls of the server and evicts their prefixes, which the call's
  // own completion time does not show.
  double recompute_weight = 8;
  // Time constant with which a report loses weight against the pool's mean.
  base::Duration report_lifetime = base::seconds(4);
};

// Chooses the least estimated completion time among the cache holder and a few
// random candidates.
class EstimatedCompletionPicker final : public ServerPicker {
 public:
  explicit EstimatedCompletionPicker(
      EstimatedCompletionSettings settings = EstimatedCompletionSettings());

  std::optional<std::size_t> Pick(std::span<const Candidate> candidates,
                                  const CallProfile& call,
                                  base::Random& random) override;

  // Estimated time until `call` would end on `candidate`, in seconds, where
  // `mean_backlog` is the pool's mean reported backlog (work tokens).
  double Estimate(const Candidate& candidate,
                  const CallProfile& call,
                  double mean_backlog) const;

 private:
  EstimatedCompletionSettings settings_;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_ESTIMATED_COMPLETION_PICKER_H_
