#ifndef VANILLALEVER_SCHEDULING_HEDGE_POLICY_H_
#define VANILLALEVER_SCHEDULING_HEDGE_POLICY_H_

#include <map>
#include <optional>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

// Settings of HedgePolicy.
struct HedgePolicySettings {
  // Latency quantile after which a second request is sent.
  double quantile = 0.95;
  // Hedged work allowed as a share of all work.
  double budget_share = 0.04;
  // Largest work of a call that may be hedged (work tokens).
  double max_work = 2500;
  // Work credited at the start (work tokens), so that the first hedge need not
  // wait for the budget to fill; also the most that is saved up.
  double max_credit = 20000;
  // Latencies kept for each class.
  std::size_t window = 200;
  // Latencies of a class needed before its calls are hedged.
  std::size_t min_samples = 20;
};

// Decides when a repeatable short call is sent a second time, to another
// server. Not thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgePolicySettings settings = HedgePolicySettings());

  // A first attempt of `work` tokens was sent; adds to the budget.
  void OnDispatch(double work);

  // A call of program class `program_class` ended after `latency`.
  void OnLatency(int program_class, base::Duration latency);

  // Time after dispatch at which to hedge a call of `work` tokens; nothing when
  // calls of this kind are not hedged.
  std::optional<base::Duration> HedgeDelay(int program_class,
                                           double work) const;

  // Charges a hedge of `work` tokens; false when the budget does not allow it.
  bool TryHedge(double work);

  // Returns the part of the charge that was not run, for a loser cancelled
  // early.
  void OnCancelled(double unused_work);

  // Work charged for hedges so far (work tokens).
  double hedged_work() const { return hedged_work_; }

 private:
  struct ClassWindow {
    // Latest latencies, overwritten in turn.
    std::vector<base::Duration> latencies;
    std::size_t next = 0;
    // Quantile of the window, refreshed every few samples.
    base::Duration threshold{0};
  };

  HedgePolicySettings settings_;
  std::map<int, ClassWindow> windows_;
  double credit_;
  double hedged_work_ = 0;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_HEDGE_POLICY_H_
