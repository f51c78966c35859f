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
  // First seed; schedule n uses seed + n.
  std::uint64_t seed = 1;
  // Number of schedules.
  std::uint64_t schedules = 1000;
  // Threads that run schedules.
  unsigned threads = 4;
  std::set<Rule> without;
};

// Results of one cell.
struct Cell {
  // Schedules in which the fault struck and a check of the promise had
  // something to judge afterwards.
  std::uint64_t schedules = 0;
  std::uint64_t violations = 0;
};

// Runs schedules and collects their results by promise and fault.
class Matrix {
 public:
  explicit Matrix(const MatrixSettings& settings) : settings_(settings) {}

  // The schedule with this number: every fault at every step in turn, then
  // pairs of faults. Depends on the settings only.
  Scenario ScenarioAt(std::uint64_t number) const;

  // Runs all schedules.
  void Run();

  // Prints promise by fault, then step by fault, violations and the result.
  void Print(std::ostream& out) const;

  std::uint64_t violations() const { return violations_; }
  // Cells without a schedule.
  std::uint64_t gaps() const;

 private:
  struct Failure {
    std::uint64_t number = 0;
    std::uint64_t seed = 0;
    Violation violation;
  };

  void Add(std::uint64_t number,
           const Scenario& scenario,
           const Outcome& outcome);
  void PrintCells(std::ostream& out) const;
  void PrintSteps(std::ostream& out) const;
  void PrintFailures(std::ostream& out) const;

  const MatrixSettings settings_;
  std::array<std::array<Cell, kFaultCount>, kPromiseCount> cells_{};
  std::array<std::array<std::uint64_t, kFaultCount>, kPathStepCount> steps_{};
  std::uint64_t run_ = 0;
  std::uint64_t pairs_ = 0;
  std::uint64_t stalled_ = 0;
  std::uint64_t harmless_refused_ = 0;
  std::uint64_t violations_ = 0;
  std::vector<Failure> failures_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_MATRIX_H_
