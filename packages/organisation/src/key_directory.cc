#include "vanillalever/organisation/key_directory.h"

#include <bit>
#include <utility>

#include "vanillalever/base/hash.h"

namespace vanillalever::organisation {

KeyDirectory::KeyDirectory(std::vector<Organisation>& organisations,
                           std::uint64_t seed)
    : seed_(seed) {
  std::size_t keys = 0;
  std::size_t bytes = 0;
  for (const Organisation& organisation : organisations) {
    keys += organisation.keys.size();
    for (const std::string& key : organisation.keys)
      bytes += key.size();
  }
  text_.reserve(bytes);
  slots_.resize(std::bit_ceil(keys / 3 * 4 + 4));
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    for (const std::string& key : std::exchange(organisations[i].keys, {}))
      Add(key, i);
  }
}

void KeyDirectory::Add(std::string_view key, std::size_t organisation) {
  std::uint64_t hash = base::Hash64(key, seed_);
  std::size_t position = key.empty() ? 0 : SlotOf(key, hash);
  if (key.empty() || slots_[position].length > 0) {
    ++ignored_keys_;
    return;
  }
  slots_[position] = {hash, static_cast<std::uint32_t>(text_.size()),
                      static_cast<std::uint32_t>(key.size()),
                      static_cast<std::uint32_t>(organisation)};
  text_.append(key);
  ++size_;
}

std::optional<std::size_t> KeyDirectory::Find(
    const Credential& credential) const {
  if (credential.form() != Credential::Form::kKey || slots_.empty() ||
      credential.key_.empty())
    return std::nullopt;
  const std::string& key = credential.key_;
  const Slot& slot = slots_[SlotOf(key, base::Hash64(key, seed_))];
  if (slot.length == 0)
    return std::nullopt;
  return slot.organisation;
}

std::size_t KeyDirectory::SlotOf(std::string_view key,
                                 std::uint64_t hash) const {
  std::size_t mask = slots_.size() - 1;
  std::size_t position = hash & mask;
  while (slots_[position].length > 0 &&
         !(slots_[position].hash == hash && Holds(slots_[position], key)))
    position = (position + 1) & mask;
  return position;
}

bool KeyDirectory::Holds(const Slot& slot, std::string_view key) const {
  if (slot.length != key.size())
    return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < key.size(); ++i)
    difference |= static_cast<unsigned char>(text_[slot.offset + i]) ^
                  static_cast<unsigned char>(key[i]);
  return difference == 0;
}

std::size_t KeyDirectory::bytes() const {
  return sizeof(*this) + slots_.capacity() * sizeof(Slot) + text_.capacity();
}

}  // namespace vanillalever::organisation
