#ifndef VANILLALEVER_MEMORY_ACCOUNT_SETTINGS_H_
#define VANILLALEVER_MEMORY_ACCOUNT_SETTINGS_H_

#include <array>
#include <cstddef>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::memory {

// What bytes are held for.
enum class Purpose {
  kRequest,   // unread input and bodies of requests, until their response ends
  kResponse,  // responses that their callers have not read yet
};

inline constexpr std::size_t kPurposes = 2;
inline constexpr base::NameTable<Purpose, kPurposes> kPurposeNames(
    {"request", "response"});

// Limits of an Account.
struct AccountSettings {
  // Bytes that all holders may hold together.
  std::size_t total_bytes = 64 << 20;
  // Largest part of the total that each purpose may take, by Purpose.
  std::array<double, kPurposes> shares{0.6, 0.6};
  // Part of a limit above which large holders are slowed.
  double slow_share = 0.75;
  // Part of a limit down to which holders are ended once slowing them was not
  // enough.
  double relief_share = 0.5;
  // A holder of at most this size is large in no case, so never slowed.
  std::size_t ordinary_bytes = 64 << 10;
  // Time above the slow share after which the largest and slowest holders are
  // ended.
  base::Duration patience = base::milliseconds(1000);
};

}  // namespace vanillalever::memory

#endif  // VANILLALEVER_MEMORY_ACCOUNT_SETTINGS_H_
