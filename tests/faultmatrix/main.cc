#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "cluster.h"
#include "matrix.h"
#include "vanillalever/base/settings.h"

DEFINE_uint64(seed, 1, "seed of the first schedule");
DEFINE_uint64(schedules, 2000, "number of schedules");
DEFINE_int64(only, -1, "number of the one schedule to run");
DEFINE_uint32(threads, 4, "threads that run schedules");
DEFINE_string(without, "", "safeguards to disable, separated by commas");

namespace {

using vanillalever::faultmatrix::kSafeguardNames;
using vanillalever::faultmatrix::Matrix;
using vanillalever::faultmatrix::MatrixSettings;

int RunOne(const Matrix& matrix) {
  auto scenario = matrix.ScenarioAt(static_cast<std::uint64_t>(FLAGS_only));
  auto outcome = vanillalever::faultmatrix::Cluster(scenario).Run();
  for (const auto& violation : outcome.violations)
    std::cout << "violation P" << violation.guarantee + 1 << ": "
              << violation.text << "\n";
  std::cout << "steps=" << outcome.steps
            << " violations=" << outcome.violations.size() << std::endl;
  return outcome.violations.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs the fault matrix; see docs/FAULT-MATRIX.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  MatrixSettings settings;
  settings.seed = FLAGS_seed;
  settings.schedules = FLAGS_schedules;
  settings.threads = FLAGS_threads;
  std::istringstream names(FLAGS_without);
  for (std::string name; std::getline(names, name, ',');) {
    auto safeguard = kSafeguardNames.value(name);
    if (!safeguard) {
      std::cerr << "flag --without: unknown safeguard " << name
                << ", expected one of " << kSafeguardNames.joined()
                << std::endl;
      return vanillalever::base::kExitBadSettings;
    }
    settings.disabled.insert(*safeguard);
  }
  Matrix matrix(settings);
  if (FLAGS_only >= 0)
    return RunOne(matrix);
  matrix.Run();
  matrix.Print(std::cout);
  return matrix.violations() == 0 ? 0 : 1;
}
