#include "vanillalever/membership/subset_picker.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::membership {

namespace {

// Names ordered by hash, so that servers of one rack, which often have
// neighbouring names, spread over the ring.
std::vector<std::string> Ring(const std::vector<PeerLocation>& peers,
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

// Adds up to `count` new names from the ring. The entries start at evenly
// spaced places, so that each sidecar falls to the same number of entries, to
// within one.
void Take(const std::string& self,
          const std::vector<std::string>& entries,
          const std::vector<std::string>& ring,
          std::size_t count,
          std::set<std::string>& taken,
          std::vector<std::string>& subset) {
  auto place = std::find(entries.begin(), entries.end(), self);
  if (ring.empty() || place == entries.end())
    return;
  auto index = static_cast<std::size_t>(place - entries.begin());
  std::size_t start = index * ring.size() / entries.size();
  std::size_t added = 0;
  for (std::size_t i = 0; i < ring.size() && added < count; ++i) {
    const std::string& name = ring[(start + i) % ring.size()];
    if (!taken.insert(name).second)
      continue;
    subset.push_back(name);
    ++added;
  }
}

}  // namespace

SubsetPicker::SubsetPicker(SubsetSettings settings) : settings_(settings) {}

std::vector<std::string> SubsetPicker::Pick(
    const std::string& self,
    const std::vector<PeerLocation>& entries,
    const std::vector<PeerLocation>& sidecars) const {
  std::vector<std::string> subset;
  auto own = std::find_if(
      entries.begin(), entries.end(),
      [&self](const PeerLocation& peer) { return peer.name == self; });
  if (own == entries.end() || sidecars.empty())
    return subset;
  std::vector<std::string> all_entries = Ring(entries, "");
  std::vector<std::string> region = Ring(sidecars, "");
  // Enough from the whole region that all entries together cover it, also the
  // data centres without an entry.
  std::size_t covering =
      (region.size() + all_entries.size() - 1) / all_entries.size();
  std::size_t regional =
      std::min(settings_.size, std::max(settings_.min_regional, covering));
  std::set<std::string> taken;
  Take(self, Ring(entries, own->data_centre), Ring(sidecars, own->data_centre),
       settings_.size - regional, taken, subset);
  Take(self, all_entries, region, settings_.size - subset.size(), taken,
       subset);
  return subset;
}

}  // namespace vanillalever::membership
