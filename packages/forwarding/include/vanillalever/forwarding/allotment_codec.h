#ifndef VANILLALEVER_FORWARDING_ALLOTMENT_CODEC_H_
#define VANILLALEVER_FORWARDING_ALLOTMENT_CODEC_H_

#include <vector>

#include "peer.capnp.h"

#include "vanillalever/forwarding/allotment_peers.h"

namespace vanillalever::forwarding {

// Moves the first of `uses` into the message, as many as fit into one packet
// beside the loads.
void MoveUses(std::vector<OriginUse>& uses,
              protocol::peer::Message::Builder message);
OriginUse ReadUse(const protocol::peer::AllotmentUse::Reader& from);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_ALLOTMENT_CODEC_H_
