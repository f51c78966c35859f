#ifndef VANILLALEVER_FORWARDING_PEER_DIRECTORY_H_
#define VANILLALEVER_FORWARDING_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Identifies one run of a gateway process.
using PeerId = std::uint64_t;

// Settings of PeerDirectory.
struct PeerDirectorySettings {
  // A peer is live if a message of it arrived within this time: the interval of
  // four regular messages.
  base::milliseconds liveness_timeout{1200};
  // A silent peer counts as partitioned rather than removed for this long:
  // longer than any restart takes.
  base::seconds retention{15};
  // Longest pause between two turns of a program: a gateway that was last heard
  // from before this knows no program that is still in use.
  base::seconds longest_pause{90};
};

// Other gateways of the deployment, by address, and the times of their last
// messages. Not thread-safe.
class PeerDirectory {
 public:
  explicit PeerDirectory(PeerDirectorySettings settings = {});

  // Adds an address at which a gateway is registered.
  void AddAddress(const std::string& address, base::TimePoint now);
  // A message arrived. Returns whether it is newer than all earlier messages of
  // this run of the sender.
  bool OnMessage(const std::string& address,
                 PeerId sender,
                 std::uint64_t sequence,
                 base::TimePoint now);
  // CPU share of the peer's machine.
  void SetCpuMillicores(const std::string& address, int millicores);
  // Whether the store responds to the peer, as the peer announces.
  void SetReachesStore(const std::string& address, bool reaches);
  // Addresses of the live gateways that reach the store.
  std::vector<std::string> store_addresses() const;
  // Address of the gateway with the largest CPU share among the live peers and
  // this gateway at `local_address`; the same in all gateways that receive
  // each other's messages.
  std::string Strongest(const std::string& local_address,
                        int local_millicores) const;
  // Runs of peers that have become silent or were replaced since the last call.
  std::vector<PeerId> TakeLost(base::TimePoint now);

  // Addresses of the live gateways.
  std::vector<std::string> live_addresses() const;
  // All known addresses, silent ones included: their messages may be lost.
  std::vector<std::string> addresses() const;
  // Whether this gateway and its live peers are at most half of all gateways
  // that sent a message within the retention time. Of the parts of a
  // partitioned deployment at most one is not in the minority.
  bool InMinority(base::TimePoint now) const;
  // Fraction of the gateways that sent a message within the retention time
  // which is live, this gateway included.
  double ReachableShare(base::TimePoint now) const;
  // Number of gateways that may be at work, this one included: those that sent
  // a message within the retention time, and those that were first listed
  // within it and have not been heard from.
  std::size_t PossiblyActive(base::TimePoint now) const;
  // Those of them that sent a message within `silence`, and this gateway.
  std::size_t InContact(base::Duration silence, base::TimePoint now) const;
  // Number of live gateways.
  std::size_t live() const;
  // Whether the live gateways know all programs in use, where those that had
  // rows at `listed_at` are known: no gateway has become silent since, within
  // the longest pause. A run that replaces another one lists what that knew.
  bool Complete(base::TimePoint listed_at, base::TimePoint now) const;
  // Whether every gateway that was heard from within the longest pause is live.
  // A silent one may be cut off from this gateway only, and may do anything
  // that needs no reply of it. One that was never heard from counts as gone:
  // rows of gateways that were killed stay.
  bool AllHeard(base::TimePoint now) const;
  // Whether the run was heard from within the retention time and is not live.
  bool Silent(PeerId run, base::TimePoint now) const;
  // Whether a silent gateway reached the store by its last message. One that
  // had been silent for the retention time at `since` counts as removed.
  bool ReachedBySilent(base::TimePoint since) const;
  // Runs and addresses of the live gateways.
  std::vector<std::pair<PeerId, std::string>> live_runs() const;

 private:
  struct Peer {
    PeerId id = 0;
    std::uint64_t sequence = 0;
    int cpu_millicores = 0;
    base::TimePoint added_at{};
    base::TimePoint last_message_at{};
    bool live = false;
    bool reaches_store = false;
  };

  // Gateways that sent a message within the retention time, and this one.
  std::size_t Recent(base::TimePoint now) const;

  PeerDirectorySettings settings_;
  std::map<std::string, Peer> peers_;
  std::vector<PeerId> lost_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_PEER_DIRECTORY_H_
