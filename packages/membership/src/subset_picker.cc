#include "vanillalever/membership/subset_picker.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::membership {

namespace {

// Names of the peers in a data centre (all if empty), ordered by hash: servers
// of one rack often have similar names and should not be neighbours.
std::vector<std::string> HashRing(const std::vector<PeerLocation>& peers,
                                  const std::string& data_centre) {
  std::vector<std::pair<std::uint64_t, std::string>> hashed;
  for (const PeerLocation& peer : peers) {
    if (data_centre.empty() || peer.data_centre == data_centre)
      hashed.emplace_back(base::Hash64(peer.name), peer.name);
  }
  std::sort(hashed.begin(), hashed.end());
  std::vector<std::string> names;
  names.reserve(hashed.size());
  for (auto& [hash, name] : hashed)
    names.push_back(std::move(name));
  return names;
}

// Adds up to `count` new names from the ring to the subset. The entries start
// at evenly spaced positions, so that the number of entries per sidecar differs
// by at most one.
void AddFromRing(const std::string& self,
                 const std::vector<std::string>& entries,
                 const std::vector<std::string>& ring,
                 std::size_t count,
                 std::set<std::string>& chosen,
                 std::vector<std::string>& subset) {
  auto position = std::find(entries.begin(), entries.end(), self);
  if (ring.empty() || position == entries.end())
    return;
  auto index = static_cast<std::size_t>(position - entries.begin());
  std::size_t start = index * ring.size() / entries.size();
  std::size_t added_count = 0;
  for (std::size_t i = 0; i < ring.size() && added_count < count; ++i) {
    const std::string& name = ring[(start + i) % ring.size()];
    if (!chosen.insert(name).second)
      continue;
    subset.push_back(name);
    ++added_count;
  }
}

}  // namespace

SubsetPicker::SubsetPicker(SubsetSettings settings) : settings_(settings) {}

std::vector<std::string> SubsetPicker::Pick(
    const std::string& self,
    const std::vector<PeerLocation>& entries,
    const std::vector<PeerLocation>& sidecars) const {
  std::vector<std::string> subset;
  auto self_peer = std::find_if(
      entries.begin(), entries.end(),
      [&self](const PeerLocation& peer) { return peer.name == self; });
  if (self_peer == entries.end() || sidecars.empty())
    return subset;
  std::vector<std::string> all_entries = HashRing(entries, "");
  std::vector<std::string> all_sidecars = HashRing(sidecars, "");
  // Sidecars per entry that are needed to cover the whole region, including
  // data centres without an entry.
  std::size_t min_for_coverage =
      (all_sidecars.size() + all_entries.size() - 1) / all_entries.size();
  std::size_t regional = std::min(
      settings_.size, std::max(settings_.min_regional, min_for_coverage));
  std::set<std::string> chosen;
  AddFromRing(self, HashRing(entries, self_peer->data_centre),
              HashRing(sidecars, self_peer->data_centre),
              settings_.size - regional, chosen, subset);
  AddFromRing(self, all_entries, all_sidecars, settings_.size - subset.size(),
              chosen, subset);
  return subset;
}

}  // namespace vanillalever::membership
