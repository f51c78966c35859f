#ifndef VANILLALEVER_ADMISSION_BEGUN_PROGRAMS_H_
#define VANILLALEVER_ADMISSION_BEGUN_PROGRAMS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "vanillalever/base/clock.h"

namespace vanillalever::admission {

// Hashes of programs and conversations for which servers have worked lately.
// Not thread-safe.
class BegunPrograms {
 public:
  // Work is forgotten after one to two windows: longer than a program pauses
  // between two requests.
  static constexpr base::seconds kWindow{30};
  // Bound of the entries of one window; further ones are not kept, and count as
  // new programs.
  static constexpr std::size_t kMaxEntries = 20000;

  void Add(std::uint64_t hash, base::TimePoint now);
  bool Contains(std::uint64_t hash, base::TimePoint now);

 private:
  void ForgetOld(base::TimePoint now);

  std::unordered_set<std::uint64_t> current_;
  std::unordered_set<std::uint64_t> previous_;
  base::TimePoint window_started_{};
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_BEGUN_PROGRAMS_H_
