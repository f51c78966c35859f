#ifndef VANILLALEVER_FORWARDING_STRIKE_PEERS_H_
#define VANILLALEVER_FORWARDING_STRIKE_PEERS_H_

#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// What one gateway tells the others about a request that was at work in a
// crash.
struct StrikeReport {
  std::string fingerprint;
  // Run of the server that ended; empty if the request has completed since, or
  // is at work as a trial.
  std::string crash;
  // How long the request had been at work there.
  base::Duration at_work{0};
  bool trial = false;
};

// Sends reports to the other gateways, by datagrams that may be lost.
class StrikePeers {
 public:
  virtual ~StrikePeers() = default;
  virtual void SendStrikes(const std::vector<StrikeReport>& reports) = 0;
};

// Receives the reports of other gateways.
class StrikeHandler {
 public:
  virtual ~StrikeHandler() = default;
  virtual void OnPeerStrike(const StrikeReport& report) = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STRIKE_PEERS_H_
