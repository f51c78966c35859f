#ifndef VANILLALEVER_FORWARDING_ALLOTMENT_SERVICE_H_
#define VANILLALEVER_FORWARDING_ALLOTMENT_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/allotment_peers.h"
#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/rate/allotment_book.h"

namespace vanillalever::forwarding {

// Counters of AllotmentService.
struct AllotmentCounters {
  // Requests counted toward an allotment, and requests refused over one.
  base::Counter& taken;
  base::Counter& refused;
  // Requests that were counted and have not run.
  base::Counter& returned;
  // Organisations that ask for more than their allotment.
  base::Counter& over;
};

// Joins the allotments of organisations to the configuration, the other
// gateways and the log. Event loop's thread only.
class AllotmentService final : public AllotmentHandler {
 public:
  AllotmentService(AllotmentPeers& peers,
                   rate::AllotmentSettings settings,
                   AllotmentCounters counters,
                   std::uint64_t seed);

  void ApplyConfig(const RouteConfig& config);
  // Call often; see AllotmentBook::SetReach().
  void Tick();

  // Counts a request of the organisation, or returns the time after which its
  // caller should come back.
  std::optional<base::Duration> Take(const organisation::Organisation& caller);
  // A request that was counted has not run.
  void Return(const std::string& organisation);

  void OnPeerMessage(std::uint64_t peer, base::TimePoint now) override;
  void OnPeerUse(std::uint64_t peer,
                 const rate::AllotmentUse& use,
                 base::TimePoint now) override;
  std::vector<rate::AllotmentUse> TakeChanges() override;
  std::vector<rate::AllotmentUse> Repeated(base::TimePoint now) const override;

 private:
  void UpdateReach(base::TimePoint now);

  AllotmentPeers& peers_;
  rate::AllotmentSettings settings_;
  AllotmentCounters counters_;
  rate::AllotmentBook book_;
  base::TimePoint reach_updated_at_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_ALLOTMENT_SERVICE_H_
