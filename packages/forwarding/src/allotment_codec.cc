#include "vanillalever/forwarding/allotment_codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace vanillalever::forwarding {

namespace wire = protocol::peer;

namespace {

constexpr std::size_t kMaxUses = 24;
constexpr std::uint32_t kMaxRecent = std::numeric_limits<std::uint16_t>::max();

}  // namespace

void MoveUses(std::vector<OriginUse>& uses, wire::Message::Builder message) {
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

OriginUse ReadUse(const wire::AllotmentUse::Reader& from) {
  return {from.getOrigin(),
          {from.getOrganisation(),
           {from.getTaken(), from.getReturned()},
           from.getRecent()}};
}

}  // namespace vanillalever::forwarding
