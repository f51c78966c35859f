#ifndef VANILLALEVER_TESTS_FUZZ_TARGET_H_
#define VANILLALEVER_TESTS_FUZZ_TARGET_H_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "mutator.h"

namespace vanillalever::fuzz {

// A broken promise of the code under test.
class Finding : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Code that reads input from outside. Crashes and sanitizers show the rest.
class Target {
 public:
  virtual ~Target() = default;
  virtual std::string name() const = 0;
  virtual std::string NextInput() = 0;
  // Throws Finding if the input breaks a promise.
  virtual void Run(const std::string& input) = 0;
};

std::vector<std::unique_ptr<Target>> CodecTargets(std::uint64_t seed);
std::vector<std::unique_ptr<Target>> SessionTargets(std::uint64_t seed);
std::unique_ptr<Target> DatagramTarget(std::uint64_t seed);

}  // namespace vanillalever::fuzz

#endif  // VANILLALEVER_TESTS_FUZZ_TARGET_H_
