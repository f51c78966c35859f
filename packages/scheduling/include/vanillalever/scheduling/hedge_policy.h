#ifndef VANILLALEVER_SCHEDULING_HEDGE_POLICY_H_
#define VANILLALEVER_SCHEDULING_HEDGE_POLICY_H_

#include <map>
#include <optional>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::scheduling {

struct HedgePolicySettings {
  // Latency quantile at which a second attempt is sent.
  double quantile = 0.95;
  // Maximum hedged work as a share of all work.
  double budget_share = 0.04;
  // Maximum work of a call that may be hedged (work tokens).
  double max_work = 2500;
  // Maximum budget that accumulates, and the initial budget, so that the first
  // hedges are not delayed (work tokens).
  double max_credit = 20000;
  // Latencies kept per program class.
  std::size_t window_size = 200;
  // Latencies of a class required before its calls are hedged.
  std::size_t min_samples = 20;
};

// Decides when a second attempt of a short repeatable call is sent to another
// server (hedged request). Not thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgePolicySettings settings = HedgePolicySettings());

  // A first attempt of `work` tokens was sent; adds to the budget.
  void OnDispatch(double work);

  // A call of the class ended after `latency`.
  void OnLatency(int program_class, base::Duration latency);

  // Returns the time after dispatch at which to hedge a call of `work` tokens;
  // nullopt if the call is not to be hedged.
  std::optional<base::Duration> HedgeDelay(int program_class,
                                           double work) const;

  // Charges a hedge of `work` tokens; returns false if it exceeds the budget.
  bool TryHedge(double work);

  // Refunds the work that was not executed, after the slower attempt was
  // cancelled.
  void OnCancelled(double unused_work);

  // Total work charged for hedges, less refunds (work tokens).
  double hedged_work() const { return hedged_work_; }

 private:
  struct LatencyWindow {
    // Ring buffer of the latest latencies.
    std::vector<base::Duration> latencies;
    std::size_t next = 0;
    // Quantile of the latencies, updated every kRefreshInterval samples.
    base::Duration threshold{0};
  };

  HedgePolicySettings settings_;
  std::map<int, LatencyWindow> windows_;
  double credit_;
  double hedged_work_ = 0;
};

}  // namespace vanillalever::scheduling

#endif  // VANILLALEVER_SCHEDULING_HEDGE_POLICY_H_
