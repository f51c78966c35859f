#ifndef VANILLALEVER_LOAD_LATENCY_TABLE_H_
#define VANILLALEVER_LOAD_LATENCY_TABLE_H_

#include <string>
#include <vector>

#include "run_record.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::load {

// Quantile of the samples by nearest rank, in ms; zero without samples.
double QuantileMs(std::vector<base::Duration> samples, double quantile);

// Text table with one line per program class and one for all: programs,
// finished, and p50, p95 and p99 in ms of the whole program (finished programs
// without sub-agents) and of the first token (all streamed turns).
std::string LatencyTable(const std::vector<ProgramRecord>& programs);

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_LATENCY_TABLE_H_
