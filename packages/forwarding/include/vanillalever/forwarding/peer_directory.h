#ifndef VANILLALEVER_FORWARDING_PEER_DIRECTORY_H_
#define VANILLALEVER_FORWARDING_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Identity of one run of a gateway process.
using PeerId = std::uint64_t;

// Settings of PeerDirectory.
struct PeerDirectorySettings {
  // Silence after which a peer no longer counts: four of its regular messages.
  base::milliseconds lifetime{1200};
  // How long a silent peer counts as cut off rather than gone: longer than any
  // restart takes.
  base::seconds memory{15};
};

// Other gateways of the deployment, by address, with what was last heard of
// them. Not thread-safe.
class PeerDirectory {
 public:
  explicit PeerDirectory(PeerDirectorySettings settings = {});

  // An address at which a gateway registered itself.
  void AddAddress(const std::string& address);
  // A message arrived. Returns whether it is newer than all before it of this
  // run of the sender.
  bool OnMessage(const std::string& address,
                 PeerId sender,
                 std::uint64_t sequence,
                 base::TimePoint now);
  // Processor share of the peer's machine, in thousandths of a core.
  void SetCpuMillicores(const std::string& address, int millicores);
  // Address of the live gateway with the largest processor share, `own` with
  // `local_millicores` included; the same in all gateways that hear each other.
  std::string Strongest(const std::string& own, int local_millicores) const;
  // Runs of processes that have fallen silent or were replaced since the last
  // call.
  std::vector<PeerId> TakeLost(base::TimePoint now);

  // Addresses of the gateways heard within the lifetime.
  std::vector<std::string> live_addresses() const;
  // All known addresses, silent ones too: their messages may be lost.
  std::vector<std::string> addresses() const;
  // Whether this gateway and the live peers are not more than half of all that
  // were heard within the memory. At most one part of a divided deployment is
  // no minority.
  bool InMinority(base::TimePoint now) const;
  // Gateways heard within the lifetime.
  std::size_t live() const;

 private:
  struct Peer {
    PeerId id = 0;
    std::uint64_t sequence = 0;
    int cpu_millicores = 0;
    base::TimePoint heard{};
    bool live = false;
  };

  PeerDirectorySettings settings_;
  std::map<std::string, Peer> peers_;
  std::vector<PeerId> gone_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PEER_DIRECTORY_H_
