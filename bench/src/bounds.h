#ifndef VANILLALEVER_BENCH_BOUNDS_H_
#define VANILLALEVER_BENCH_BOUNDS_H_

#include <set>
#include <string>
#include <vector>

#include "experiment.h"

namespace vanillalever::bench {

// One goal of the design page and what was measured for it.
struct Bound {
  // Unique name, as listed in KNOWN-RED.txt.
  std::string name;
  double value = 0;
  double limit = 0;
  // The value must be at least the limit; else at most.
  bool at_least = false;

  bool passed() const { return at_least ? value >= limit : value <= limit; }
};

// Name of the baseline with the best whole-program p99 in the cell; ties go to
// the lower p95, then to the lower p50, then to the higher finished share.
std::string ReferencePolicy(const ExperimentResult& result,
                            const std::string& workload,
                            double load,
                            const std::string& scenario);

// Every bound of section 5 of the design page, in fixed order. `prefix` starts
// the names.
std::vector<Bound> CheckBounds(const ExperimentSettings& settings,
                               const ExperimentResult& result,
                               const std::string& prefix);

// Names listed in a KNOWN-RED.txt; empty when there is no such file.
std::set<std::string> ReadKnownRed(const std::string& path);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_BOUNDS_H_
