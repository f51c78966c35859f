#ifndef VANILLALEVER_BENCH_BOUNDS_H_
#define VANILLALEVER_BENCH_BOUNDS_H_

#include <set>
#include <string>
#include <vector>

#include "experiment.h"

namespace vanillalever::bench {

// A goal of the design page with the measured value.
struct Bound {
  // Unique name, as listed in KNOWN-RED.txt.
  std::string name;
  double value = 0;
  double limit = 0;
  // Whether the limit is a minimum; else it is a maximum.
  bool at_least = false;

  bool passed() const { return at_least ? value >= limit : value <= limit; }
};

// Name of the baseline with the lowest whole-program p99 in the cell; ties are
// broken by lower p95, then lower p50, then higher finished share.
std::string ReferencePolicy(const ExperimentResult& result,
                            const std::string& workload,
                            double load,
                            const std::string& scenario);

// All bounds of section 5 of the design page, in fixed order. The names start
// with `prefix`.
std::vector<Bound> CheckBounds(const ExperimentSettings& settings,
                               const ExperimentResult& result,
                               const std::string& prefix);

// Bound names listed in a KNOWN-RED.txt; empty if the file does not exist.
std::set<std::string> ReadKnownFailures(const std::string& path);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_BOUNDS_H_
