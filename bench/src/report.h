#ifndef VANILLALEVER_BENCH_REPORT_H_
#define VANILLALEVER_BENCH_REPORT_H_

#include <ostream>
#include <string>
#include <vector>

#include "bounds.h"
#include "experiment.h"

namespace vanillalever::bench {

// Prints the measures of every cell, one line each.
void PrintTable(const ExperimentSettings& settings,
                const ExperimentResult& result,
                std::ostream& out);

// Writes measures.csv into `folder`.
void WriteCsv(const ExperimentSettings& settings,
              const ExperimentResult& result,
              const std::string& folder);

// Writes bounds.csv into `folder`.
void WriteBoundsCsv(const std::vector<Bound>& bounds,
                    const std::string& folder);

// Writes one chart per workload and charted measure into `folder`: the measure
// over load, one line per policy.
void WriteSvg(const ExperimentSettings& settings,
              const ExperimentResult& result,
              const std::string& folder);

}  // namespace vanillalever::bench

#endif  // VANILLALEVER_BENCH_REPORT_H_
