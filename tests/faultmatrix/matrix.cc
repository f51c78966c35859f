#include "matrix.h"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <mutex>
#include <thread>

#include "cluster.h"
#include "vanillalever/base/random.h"

namespace vanillalever::faultmatrix {

namespace {

// Violations that are printed in full.
constexpr std::size_t kMaxPrintedFailures = 20;
// Combinations of one fault and one step.
constexpr std::uint64_t kFaultStepCount = kFaultCount * kPathStepCount;

FaultInjection MakeInjection(std::uint64_t cell, base::Random& random) {
  FaultInjection injection;
  injection.fault = static_cast<Fault>(cell % kFaultCount);
  injection.step = static_cast<PathStep>(cell / kFaultCount % kPathStepCount);
  injection.occurrence = 1 + static_cast<std::uint32_t>(random.Below(4));
  return injection;
}

std::string Describe(const Scenario& scenario) {
  std::string text;
  for (const FaultInjection& injection : scenario.injections) {
    text += text.empty() ? "" : " + ";
    text += std::string(kFaultNames.name(injection.fault)) + " at " +
            std::string(kPathStepNames.name(injection.step)) + " " +
            std::to_string(injection.occurrence);
  }
  return text;
}

}  // namespace

Scenario Matrix::ScenarioAt(std::uint64_t number) const {
  Scenario scenario;
  scenario.seed = settings_.seed + number;
  scenario.disabled = settings_.disabled;
  base::Random random(scenario.seed);
  scenario.injections.push_back(
      MakeInjection(number % kFaultStepCount, random));
  // Every second pass over the combinations adds a second fault, which may be
  // the same one.
  if (number / kFaultStepCount % 2 == 1)
    scenario.injections.push_back(
        MakeInjection(random.Below(kFaultStepCount), random));
  return scenario;
}

void Matrix::Run() {
  std::atomic<std::uint64_t> next = 0;
  std::mutex mutex;
  auto work = [&] {
    for (;;) {
      std::uint64_t number = next++;
      if (number >= settings_.schedules)
        return;
      Scenario scenario = ScenarioAt(number);
      Outcome outcome = Cluster(scenario).Run();
      std::lock_guard lock(mutex);
      AddOutcome(number, scenario, outcome);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < settings_.threads; ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads)
    thread.join();
  std::sort(
      failures_.begin(), failures_.end(),
      [](const Failure& a, const Failure& b) { return a.number < b.number; });
}

void Matrix::AddOutcome(std::uint64_t number,
                        const Scenario& scenario,
                        const Outcome& outcome) {
  ++schedules_run_;
  if (scenario.injections.size() > 1 &&
      std::count(outcome.injected.begin(), outcome.injected.end(), true) > 1) {
    ++fault_pairs_;
  }
  for (std::size_t i = 0; i < scenario.injections.size(); ++i) {
    if (!outcome.injected[i])
      continue;
    const FaultInjection& injection = scenario.injections[i];
    auto fault = static_cast<std::size_t>(injection.fault);
    ++steps_[static_cast<std::size_t>(injection.step)][fault];
    for (std::size_t guarantee = 0; guarantee < kGuaranteeCount; ++guarantee) {
      if (outcome.checks[guarantee] > 0)
        ++cells_[guarantee][fault].schedules;
    }
    for (const Violation& violation : outcome.violations) {
      if (violation.guarantee < kGuaranteeCount)
        ++cells_[violation.guarantee][fault].violations;
    }
  }
  harmless_quarantined_ += outcome.harmless_quarantined;
  for (const Violation& violation : outcome.violations) {
    ++violations_;
    if (violation.guarantee == kGuaranteeCount)
      ++stalled_;
    failures_.push_back({number, scenario.seed, violation});
  }
}

std::uint64_t Matrix::uncovered_cells() const {
  std::uint64_t uncovered = 0;
  for (const auto& row : cells_) {
    uncovered += static_cast<std::uint64_t>(
        std::count_if(row.begin(), row.end(),
                      [](const Cell& cell) { return cell.schedules == 0; }));
  }
  return uncovered;
}

void Matrix::Print(std::ostream& out) const {
  PrintCells(out);
  PrintSteps(out);
  PrintFailures(out);
  out << "seeds " << settings_.seed << " to "
      << settings_.seed + settings_.schedules - 1 << ", pairs of faults "
      << fault_pairs_ << ", gaps " << uncovered_cells() << ", stalled programs "
      << stalled_ << ", harmless calls quarantined " << harmless_quarantined_
      << "\n";
  std::uint64_t failed_cells = 0;
  for (const auto& row : cells_) {
    failed_cells += static_cast<std::uint64_t>(
        std::count_if(row.begin(), row.end(),
                      [](const Cell& cell) { return cell.violations > 0; }));
  }
  out << "fault-matrix: promises=" << kGuaranteeCount
      << " faults=" << kFaultCount << " schedules=" << schedules_run_
      << " violations=" << violations_ << " red=" << failed_cells << std::endl;
}

void Matrix::PrintCells(std::ostream& out) const {
  out << "schedules per cell; ! marks violations, \"gap\" an uncovered cell\n"
      << std::left << std::setw(20) << "fault";
  for (std::size_t guarantee = 0; guarantee < kGuaranteeCount; ++guarantee)
    out << std::right << std::setw(7) << "P" + std::to_string(guarantee + 1);
  out << "\n";
  for (std::size_t fault = 0; fault < kFaultCount; ++fault) {
    out << std::left << std::setw(20)
        << kFaultNames.name(static_cast<Fault>(fault)) << std::right;
    for (const auto& row : cells_) {
      const Cell& cell = row[fault];
      std::string text =
          cell.schedules == 0 ? "gap" : std::to_string(cell.schedules);
      if (cell.violations > 0)
        text += "!" + std::to_string(cell.violations);
      out << std::setw(7) << text;
    }
    out << "\n";
  }
}

void Matrix::PrintSteps(std::ostream& out) const {
  out << "injections per step\n" << std::left << std::setw(20) << "fault";
  for (std::size_t step = 0; step < kPathStepCount; ++step)
    out << std::right << std::setw(12)
        << kPathStepNames.name(static_cast<PathStep>(step));
  out << "\n";
  for (std::size_t fault = 0; fault < kFaultCount; ++fault) {
    out << std::left << std::setw(20)
        << kFaultNames.name(static_cast<Fault>(fault)) << std::right;
    for (const auto& row : steps_) {
      out << std::setw(12)
          << (row[fault] == 0 ? "gap" : std::to_string(row[fault]));
    }
    out << "\n";
  }
}

void Matrix::PrintFailures(std::ostream& out) const {
  std::size_t shown = 0;
  for (const Failure& failure : failures_) {
    if (++shown > kMaxPrintedFailures) {
      out << "... " << failures_.size() - kMaxPrintedFailures << " more\n";
      return;
    }
    std::string guarantee =
        failure.violation.guarantee == kGuaranteeCount
            ? "stalled"
            : "P" + std::to_string(failure.violation.guarantee + 1);
    out << "violation " << guarantee << " in schedule " << failure.number
        << " (seed " << failure.seed << "; "
        << Describe(ScenarioAt(failure.number))
        << "): " << failure.violation.text << "\n";
  }
}

}  // namespace vanillalever::faultmatrix
