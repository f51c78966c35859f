#ifndef VANILLALEVER_BASE_RANDOM_H_
#define VANILLALEVER_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace vanillalever::base {

// Seeded pseudo-random generator. A seed gives the same sequence on every
// platform, because no standard library distribution is used (their algorithms
// are implementation-defined). Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  // Uniform in [0, bound); bound must not be zero. The modulo bias is below
  // 2^-32 for bounds under 2^32.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }

  // Uniform in [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

 private:
  std::mt19937_64 engine_;
};

// 128 random bits from the operating system, as hex. Identifies one run of a
// process (its incarnation) or a transaction.
std::string RandomId();

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_RANDOM_H_
