#include "vanillalever/forwarding/peer_directory.h"

#include <algorithm>
#include <utility>

namespace vanillalever::forwarding {

PeerDirectory::PeerDirectory(PeerDirectorySettings settings)
    : settings_(settings) {}

void PeerDirectory::AddAddress(const std::string& address,
                               base::TimePoint now) {
  if (auto [peer, added] = peers_.try_emplace(address); added)
    peer->second.added_at = now;
}

bool PeerDirectory::OnMessage(const std::string& address,
                              PeerId sender,
                              std::uint64_t sequence,
                              base::TimePoint now) {
  Peer& peer = peers_[address];
  if (peer.id != sender) {
    if (peer.live)
      lost_.push_back(peer.id);
    peer.id = sender;
    peer.sequence = 0;
  }
  peer.last_message_at = now;
  peer.live = true;
  if (sequence <= peer.sequence)
    return false;
  peer.sequence = sequence;
  return true;
}

void PeerDirectory::SetCpuMillicores(const std::string& address,
                                     int millicores) {
  if (auto found = peers_.find(address); found != peers_.end())
    found->second.cpu_millicores = millicores;
}

void PeerDirectory::SetReachesStore(const std::string& address, bool reaches) {
  if (auto found = peers_.find(address); found != peers_.end())
    found->second.reaches_store = reaches;
}

std::vector<std::string> PeerDirectory::store_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (peer.live && peer.reaches_store)
      addresses.push_back(address);
  }
  return addresses;
}

std::string PeerDirectory::Strongest(const std::string& local_address,
                                     int local_millicores) const {
  std::string best = local_address;
  int max_millicores = local_millicores;
  for (const auto& [address, peer] : peers_) {
    if (!peer.live || peer.cpu_millicores < max_millicores ||
        (peer.cpu_millicores == max_millicores && address > best))
      continue;
    best = address;
    max_millicores = peer.cpu_millicores;
  }
  return best;
}

std::vector<PeerId> PeerDirectory::TakeLost(base::TimePoint now) {
  for (auto& [address, peer] : peers_) {
    if (peer.live && now - peer.last_message_at > settings_.liveness_timeout) {
      peer.live = false;
      lost_.push_back(peer.id);
    }
  }
  return std::exchange(lost_, {});
}

std::vector<std::string> PeerDirectory::addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_)
    addresses.push_back(address);
  return addresses;
}

std::vector<std::string> PeerDirectory::live_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (peer.live)
      addresses.push_back(address);
  }
  return addresses;
}

std::size_t PeerDirectory::Recent(base::TimePoint now) const {
  std::size_t recent = 1;
  for (const auto& [address, peer] : peers_)
    recent += peer.id != 0 && now - peer.last_message_at <= settings_.retention
                  ? 1
                  : 0;
  return recent;
}

std::size_t PeerDirectory::PossiblyActive(base::TimePoint now) const {
  std::size_t active = 1;
  for (const auto& [address, peer] : peers_) {
    base::TimePoint since = peer.id != 0 ? peer.last_message_at : peer.added_at;
    active += now - since <= settings_.retention ? 1 : 0;
  }
  return active;
}

std::size_t PeerDirectory::InContact(base::Duration silence,
                                     base::TimePoint now) const {
  std::size_t in_contact = 1;
  for (const auto& [address, peer] : peers_)
    in_contact += peer.id != 0 && now - peer.last_message_at <= silence ? 1 : 0;
  return in_contact;
}

bool PeerDirectory::InMinority(base::TimePoint now) const {
  return 2 * (live() + 1) <= Recent(now);
}

double PeerDirectory::ReachableShare(base::TimePoint now) const {
  return static_cast<double>(live() + 1) / static_cast<double>(Recent(now));
}

bool PeerDirectory::Complete(base::TimePoint listed_at,
                             base::TimePoint now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.live || peer.id == 0 ||
           listed_at > peer.last_message_at + settings_.liveness_timeout ||
           now - peer.last_message_at > settings_.longest_pause;
  });
}

bool PeerDirectory::AllHeard(base::TimePoint now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.live || peer.id == 0 ||
           now - peer.last_message_at > settings_.longest_pause;
  });
}

bool PeerDirectory::Silent(PeerId run, base::TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.id == run && !peer.live &&
           now - peer.last_message_at <= settings_.retention;
  });
}

bool PeerDirectory::ReachedBySilent(base::TimePoint since) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.id != 0 && !peer.live && peer.reaches_store &&
           peer.last_message_at + settings_.retention > since;
  });
}

std::vector<std::pair<PeerId, std::string>> PeerDirectory::live_runs() const {
  std::vector<std::pair<PeerId, std::string>> runs;
  for (const auto& [address, peer] : peers_) {
    if (peer.live)
      runs.emplace_back(peer.id, address);
  }
  return runs;
}

std::size_t PeerDirectory::live() const {
  std::size_t count = 0;
  for (const auto& [address, peer] : peers_)
    count += peer.live ? 1 : 0;
  return count;
}

}  // namespace vanillalever::forwarding
