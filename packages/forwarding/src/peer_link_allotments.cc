// Messages about the allotments of organisations.

#include <utility>

#include "vanillalever/forwarding/allotment_codec.h"
#include "vanillalever/forwarding/peer_link.h"

namespace vanillalever::forwarding {

namespace wire = protocol::peer;

rate::GatewayReach PeerLink::Reach(base::Duration silence,
                                   base::TimePoint now) const {
  rate::GatewayReach reach;
  reach.gateways = directory_.PossiblyActive(now);
  // The others are not known before the first listing.
  if (listed_)
    reach.share = static_cast<double>(directory_.InContact(silence, now)) /
                  static_cast<double>(reach.gateways);
  return reach;
}

void PeerLink::OnAllotments(const wire::Message::Reader& message, bool relays) {
  if (allotments_ == nullptr)
    return;
  auto now = base::TimePoint::clock::now();
  allotments_->OnPeerMessage(message.getSender(), now);
  for (auto entry : message.getAllotments()) {
    auto [origin, use] = ReadUse(entry);
    bool own = origin == 0;
    if (own)
      origin = message.getSender();
    if (origin == id_)
      continue;
    allotments_->OnPeerUse(origin, use, now);
    if (own && relays) {
      rate::AllotmentUse& pending = relayed_uses_[{origin, use.organisation}];
      use.recent += pending.recent;
      pending = use;
    }
  }
}

std::vector<OriginUse> PeerLink::TakeRelayedUses() {
  std::vector<OriginUse> uses;
  for (const auto& [key, use] : std::exchange(relayed_uses_, {}))
    uses.push_back({key.first, use});
  return uses;
}

std::vector<OriginUse> PeerLink::OwnUses(
    const std::vector<rate::AllotmentUse>& uses) {
  std::vector<OriginUse> own;
  own.reserve(uses.size());
  for (const rate::AllotmentUse& use : uses)
    own.push_back({0, use});
  return own;
}

}  // namespace vanillalever::forwarding
