// Messages about requests that were at work in crashes of servers.

#include <algorithm>
#include <chrono>
#include <cstdint>

#include <capnp/message.h>

#include "vanillalever/forwarding/peer_link.h"
#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::forwarding {

namespace wire = protocol::peer;
using protocol::Pack;

namespace {

constexpr std::int64_t kMaxAtWorkUs = 600'000'000;

}  // namespace

void PeerLink::SendStrikes(const std::vector<StrikeReport>& reports) {
  capnp::MallocMessageBuilder builder;
  auto message = StartMessage(builder);
  auto strikes = message.initStrikes(static_cast<unsigned>(reports.size()));
  for (unsigned i = 0; i < strikes.size(); ++i) {
    strikes[i].setFingerprint(reports[i].fingerprint);
    strikes[i].setCrash(reports[i].crash);
    strikes[i].setTrial(reports[i].trial);
    auto at_work = std::chrono::duration_cast<std::chrono::microseconds>(
        reports[i].at_work);
    strikes[i].setAtWorkUs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(at_work.count(), 0, kMaxAtWorkUs)));
  }
  SendToEach(directory_.addresses(), Pack(builder));
}

void PeerLink::OnStrikes(const wire::Message::Reader& message) {
  if (strikes_ == nullptr)
    return;
  for (auto strike : message.getStrikes())
    strikes_->OnPeerStrike({strike.getFingerprint(), strike.getCrash(),
                            std::chrono::microseconds(strike.getAtWorkUs()),
                            strike.getTrial()});
}

}  // namespace vanillalever::forwarding
