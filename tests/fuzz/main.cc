// Usage: vl_input_fuzz [--seed=N] [--inputs=N | --seconds=N] [--target=NAME]
// Prints the seed, target and input of a finding in hexadecimal; exit code 1.

#include <chrono>
#include <cstdio>
#include <iostream>

#include <gflags/gflags.h>

#include "target.h"

DEFINE_uint64(seed, 1, "Seed of the inputs.");
DEFINE_uint64(inputs, 3000, "Inputs for each target.");
DEFINE_uint64(seconds, 0, "Time for each target instead of a number.");
DEFINE_string(target, "", "Only this target.");

namespace vanillalever::fuzz {
namespace {

using Clock = std::chrono::steady_clock;

bool RunTarget(Target& target) {
  auto end = Clock::now() + std::chrono::seconds(FLAGS_seconds);
  std::uint64_t count = 0;
  while (FLAGS_seconds > 0 ? Clock::now() < end : count < FLAGS_inputs) {
    std::string input = target.NextInput();
    ++count;
    try {
      target.Run(input);
    } catch (const std::exception& exception) {
      std::cout << "finding: target=" << target.name() << " seed=" << FLAGS_seed
                << " input=" << count << " reason=" << exception.what() << "\n";
      for (unsigned char byte : input)
        std::printf("%02x", byte);
      std::cout << std::endl;
      return false;
    }
  }
  std::cout << target.name() << ": " << count << " inputs" << std::endl;
  return true;
}

int Main() {
  auto targets = CodecTargets(FLAGS_seed);
  for (auto& target : SessionTargets(FLAGS_seed))
    targets.push_back(std::move(target));
  targets.push_back(DatagramTarget(FLAGS_seed));
  int findings = 0;
  for (const auto& target : targets) {
    if (FLAGS_target.empty() || FLAGS_target == target->name())
      findings += !RunTarget(*target);
  }
  return findings > 0;
}

}  // namespace
}  // namespace vanillalever::fuzz

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return vanillalever::fuzz::Main();
}
