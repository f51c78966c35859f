#include "vanillalever/admission/begun_programs.h"

#include <utility>

namespace vanillalever::admission {

void BegunPrograms::Add(std::uint64_t hash, base::TimePoint now) {
  ForgetOld(now);
  if (current_.size() < kMaxEntries)
    current_.insert(hash);
}

bool BegunPrograms::Contains(std::uint64_t hash, base::TimePoint now) {
  ForgetOld(now);
  return current_.contains(hash) || previous_.contains(hash);
}

void BegunPrograms::ForgetOld(base::TimePoint now) {
  if (now - window_started_ < kWindow)
    return;
  if (now - window_started_ < 2 * kWindow)
    previous_ = std::move(current_);
  else
    previous_.clear();
  current_.clear();
  window_started_ = now;
}

}  // namespace vanillalever::admission
