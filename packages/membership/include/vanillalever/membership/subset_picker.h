#ifndef VANILLALEVER_MEMBERSHIP_SUBSET_PICKER_H_
#define VANILLALEVER_MEMBERSHIP_SUBSET_PICKER_H_

#include <cstddef>
#include <string>
#include <vector>

namespace vanillalever::membership {

// An entry or a sidecar with the place it runs in.
struct PeerLocation {
  // Incarnation of an entry, or address of a sidecar; unique in its list.
  std::string name;
  std::string data_centre;
};

struct SubsetSettings {
  // Most sidecars of one pool that an entry exchanges reports with. 410
  // entries times 24 give each of 1,700 sidecars about 6 entries.
  std::size_t size = 24;
  // How many of them are taken from the whole region, so that an entry can
  // still work when the sidecars of its own data centre fail.
  std::size_t min_regional = 4;
};

// Chooses the sidecars of a pool that an entry works with. Deterministic: the
// result depends on the lists only, not on their order. Balanced: the entries
// of a data centre spread evenly over its sidecars, and each sidecar of the
// region is in the subset of at least one entry when the size allows it.
class SubsetPicker {
 public:
  explicit SubsetPicker(SubsetSettings settings);

  // The subset of entry `self`, which must be among `entries`. Begins with the
  // share of its own data centre, followed by the regional share.
  std::vector<std::string> Pick(
      const std::string& self,
      const std::vector<PeerLocation>& entries,
      const std::vector<PeerLocation>& sidecars) const;

 private:
  SubsetSettings settings_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_SUBSET_PICKER_H_
