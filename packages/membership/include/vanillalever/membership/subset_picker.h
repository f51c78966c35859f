#ifndef VANILLALEVER_MEMBERSHIP_SUBSET_PICKER_H_
#define VANILLALEVER_MEMBERSHIP_SUBSET_PICKER_H_

#include <cstddef>
#include <string>
#include <vector>

namespace vanillalever::membership {

// An entry or a sidecar and its data centre.
struct PeerLocation {
  // Incarnation of an entry or address of a sidecar; unique within its list.
  std::string name;
  std::string data_centre;
};

struct SubsetSettings {
  // Maximum number of sidecars of one pool that an entry exchanges reports
  // with. 410 entries times 24 give each of 1,700 sidecars about 6 entries.
  std::size_t size = 24;
  // Minimum number of them chosen from the whole region, so that an entry can
  // still work when the sidecars of its own data centre fail.
  std::size_t min_regional = 4;
};

// Chooses the sidecars of a pool that an entry works with (deterministic
// subsetting). The result does not depend on the order of the lists. The
// entries of a data centre are spread evenly over its sidecars, and every
// sidecar of the region is in the subset of at least one entry if the subset
// size allows it.
class SubsetPicker {
 public:
  explicit SubsetPicker(SubsetSettings settings);

  // Returns the subset of entry `self`: the sidecars of its own data centre,
  // then those chosen from the whole region. Empty if `self` is not in
  // `entries`.
  std::vector<std::string> Pick(
      const std::string& self,
      const std::vector<PeerLocation>& entries,
      const std::vector<PeerLocation>& sidecars) const;

 private:
  SubsetSettings settings_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_SUBSET_PICKER_H_
