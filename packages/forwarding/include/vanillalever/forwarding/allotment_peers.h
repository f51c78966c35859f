#ifndef VANILLALEVER_FORWARDING_ALLOTMENT_PEERS_H_
#define VANILLALEVER_FORWARDING_ALLOTMENT_PEERS_H_

#include <cstdint>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/rate/allotment_book.h"

namespace vanillalever::forwarding {

// What a gateway announces about an allotment, directly or through a relay.
struct OriginUse {
  // Run of the gateway; zero for the sender of the message.
  std::uint64_t origin = 0;
  rate::AllotmentUse use;
};

// The other gateways, as far as allotments are concerned.
class AllotmentPeers {
 public:
  virtual ~AllotmentPeers() = default;
  // There is something to announce.
  virtual void OnAllotmentsChanged() = 0;
  // The gateways that sent a message within `silence`, among all that may use
  // allotments.
  virtual rate::GatewayReach Reach(base::Duration silence,
                                   base::TimePoint now) const = 0;
};

// Source and receiver of the announcements.
class AllotmentHandler {
 public:
  virtual ~AllotmentHandler() = default;
  // Any message of the gateway has arrived.
  virtual void OnPeerMessage(std::uint64_t peer, base::TimePoint now) = 0;
  virtual void OnPeerUse(std::uint64_t peer,
                         const rate::AllotmentUse& use,
                         base::TimePoint now) = 0;
  // What has changed since the last call.
  virtual std::vector<rate::AllotmentUse> TakeChanges() = 0;
  // What a complete message repeats.
  virtual std::vector<rate::AllotmentUse> Repeated(
      base::TimePoint now) const = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_ALLOTMENT_PEERS_H_
