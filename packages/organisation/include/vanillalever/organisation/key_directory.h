#ifndef VANILLALEVER_ORGANISATION_KEY_DIRECTORY_H_
#define VANILLALEVER_ORGANISATION_KEY_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/organisation/credential.h"
#include "vanillalever/organisation/organisation.h"

namespace vanillalever::organisation {

// Finds the organisation of a key in constant time. Immutable after its
// construction; one is built for each version of the configuration.
class KeyDirectory {
 public:
  KeyDirectory() = default;
  // Moves the keys out of `organisations`, so that they exist only here.
  // `seed` makes the positions of keys unknown to callers.
  KeyDirectory(std::vector<Organisation>& organisations, std::uint64_t seed);

  // Index of the key's organisation in the vector passed at construction;
  // nothing if no organisation holds the key. The time does not depend on how
  // much of a key is right.
  std::optional<std::size_t> Find(const Credential& credential) const;

  // Number of keys.
  std::size_t size() const { return size_; }
  // Keys of the configuration that were left out: empty ones, and those that an
  // earlier organisation holds.
  std::size_t ignored_keys() const { return ignored_keys_; }
  // Memory in use, in bytes.
  std::size_t bytes() const;

 private:
  // Position of a key in the table; `length` is zero if it is free.
  struct Slot {
    std::uint64_t hash = 0;
    std::uint32_t offset = 0;
    std::uint32_t length = 0;
    std::uint32_t organisation = 0;
  };

  void Add(std::string_view key, std::size_t organisation);
  // Slot that holds the key, or the free one where it belongs.
  std::size_t SlotOf(std::string_view key, std::uint64_t hash) const;
  bool Holds(const Slot& slot, std::string_view key) const;

  std::uint64_t seed_ = 0;
  // Open addressing; the size is a power of two, and at least a quarter of the
  // slots is free.
  std::vector<Slot> slots_;
  // All keys, one after the other.
  std::string text_;
  std::size_t size_ = 0;
  std::size_t ignored_keys_ = 0;
};

}  // namespace vanillalever::organisation

#endif  // VANILLALEVER_ORGANISATION_KEY_DIRECTORY_H_
