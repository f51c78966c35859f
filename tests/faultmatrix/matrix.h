#ifndef VANILLALEVER_TESTS_FAULTMATRIX_MATRIX_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_MATRIX_H_

#include <array>
#include <cstdint>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "scenario.h"

namespace vanillalever::faultmatrix {

struct MatrixSettings {
  // Schedule n uses seed + n.
  std::uint64_t seed = 1;
  std::uint64_t schedules = 1000;
  // Worker threads.
  unsigned threads = 4;
  std::set<Safeguard> disabled;
};

// Results for one guarantee and fault.
struct Cell {
  // Schedules in which the fault was injected and the guarantee was checked
  // afterwards.
  std::uint64_t schedules = 0;
  std::uint64_t violations = 0;
};

// Runs schedules and collects their results by guarantee and fault.
class Matrix {
 public:
  explicit Matrix(const MatrixSettings& settings) : settings_(settings) {}

  // Returns the schedule with this number: first each fault at each step, then
  // pairs of faults. Depends on the settings only.
  Scenario ScenarioAt(std::uint64_t number) const;

  void Run();

  // Prints results by guarantee and fault, injections by step and fault, the
  // violations and a summary line.
  void Print(std::ostream& out) const;

  std::uint64_t violations() const { return violations_; }
  // Number of cells without a schedule.
  std::uint64_t uncovered_cells() const;

 private:
  struct Failure {
    std::uint64_t number = 0;
    std::uint64_t seed = 0;
    Violation violation;
  };

  void AddOutcome(std::uint64_t number,
                  const Scenario& scenario,
                  const Outcome& outcome);
  void PrintCells(std::ostream& out) const;
  void PrintSteps(std::ostream& out) const;
  void PrintFailures(std::ostream& out) const;

  const MatrixSettings settings_;
  std::array<std::array<Cell, kFaultCount>, kGuaranteeCount> cells_{};
  std::array<std::array<std::uint64_t, kFaultCount>, kPathStepCount> steps_{};
  std::uint64_t schedules_run_ = 0;
  std::uint64_t fault_pairs_ = 0;
  std::uint64_t stalled_ = 0;
  std::uint64_t harmless_quarantined_ = 0;
  std::uint64_t violations_ = 0;
  std::vector<Failure> failures_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_MATRIX_H_
