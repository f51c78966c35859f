// Messages about the allotments of organisations.

#include <algorithm>
#include <limits>

#include "vanillalever/forwarding/peer_link.h"

namespace vanillalever::forwarding {

namespace wire = protocol::peer;

namespace {

// Uses in one message, so that it fits into one packet beside the loads.
constexpr std::size_t kMaxUses = 24;
constexpr std::uint32_t kMaxRecent = std::numeric_limits<std::uint16_t>::max();

rate::AllotmentUse ReadUse(const wire::AllotmentUse::Reader& from) {
  return {from.getOrganisation(),
          {from.getTaken(), from.getReturned()},
          from.getRecent()};
}

}  // namespace

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

void PeerLink::PackUses(std::vector<OriginUse>& uses,
                        wire::Message::Builder message) {
  auto count = static_cast<unsigned>(std::min(uses.size(), kMaxUses));
  if (count == 0)
    return;
  auto list = message.initAllotments(count);
  for (unsigned i = 0; i < count; ++i) {
    const auto& [origin, use] = uses[i];
    list[i].setOrigin(origin);
    list[i].setOrganisation(use.organisation);
    list[i].setTaken(use.totals.taken);
    list[i].setReturned(use.totals.returned);
    list[i].setRecent(
        static_cast<std::uint16_t>(std::min(use.recent, kMaxRecent)));
  }
  uses.erase(uses.begin(), uses.begin() + count);
}

std::vector<OriginUse> PeerLink::TakeRelayedUses() {
  std::vector<OriginUse> uses;
  while (!relayed_uses_.empty() && uses.size() < kMaxUses) {
    auto first = relayed_uses_.begin();
    uses.push_back({first->first.first, first->second});
    relayed_uses_.erase(first);
  }
  return uses;
}

void PeerLink::OnAllotments(const wire::Message::Reader& message, bool relays) {
  if (allotments_ == nullptr)
    return;
  auto now = base::TimePoint::clock::now();
  allotments_->OnPeerMessage(message.getSender(), now);
  for (auto entry : message.getAllotments()) {
    bool own = entry.getOrigin() == 0;
    PeerId origin = own ? message.getSender() : entry.getOrigin();
    if (origin == id_)
      continue;
    rate::AllotmentUse use = ReadUse(entry);
    allotments_->OnPeerUse(origin, use, now);
    if (own && relays) {
      rate::AllotmentUse& pending = relayed_uses_[{origin, use.organisation}];
      use.recent += pending.recent;
      pending = use;
    }
  }
}

}  // namespace vanillalever::forwarding
