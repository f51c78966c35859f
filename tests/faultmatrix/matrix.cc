#include "matrix.h"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <mutex>
#include <thread>

#include "vanillalever/base/random.h"
#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

// Failures that are printed in full.
constexpr std::size_t kMaxFailures = 20;
// One schedule in this many has a second fault, before all single ones ran.
constexpr std::uint64_t kSingles = kFaultCount * kPathStepCount;

Strike MakeStrike(std::uint64_t cell, base::Random& random) {
  Strike strike;
  strike.fault = static_cast<Fault>(cell % kFaultCount);
  strike.step = static_cast<PathStep>(cell / kFaultCount % kPathStepCount);
  strike.occurrence = 1 + static_cast<std::uint32_t>(random.Below(4));
  return strike;
}

std::string Describe(const Scenario& scenario) {
  std::string text;
  for (const Strike& strike : scenario.strikes) {
    text += text.empty() ? "" : " + ";
    text += std::string(kFaultNames.name(strike.fault)) + " at " +
            std::string(kPathStepNames.name(strike.step)) + " " +
            std::to_string(strike.occurrence);
  }
  return text;
}

}  // namespace

Scenario Matrix::ScenarioAt(std::uint64_t number) const {
  Scenario scenario;
  scenario.seed = settings_.seed + number;
  scenario.without = settings_.without;
  base::Random random(scenario.seed);
  scenario.strikes.push_back(MakeStrike(number % kSingles, random));
  // After the first pass over the single faults, every second pass adds
  // another fault, which may be the same one again.
  if (number / kSingles % 2 == 1)
    scenario.strikes.push_back(MakeStrike(random.Below(kSingles), random));
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
      Outcome outcome = World(scenario).Run();
      std::lock_guard lock(mutex);
      Add(number, scenario, outcome);
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

void Matrix::Add(std::uint64_t number,
                 const Scenario& scenario,
                 const Outcome& outcome) {
  ++run_;
  if (scenario.strikes.size() > 1 &&
      std::count(outcome.struck.begin(), outcome.struck.end(), true) > 1) {
    ++pairs_;
  }
  for (std::size_t i = 0; i < scenario.strikes.size(); ++i) {
    if (!outcome.struck[i])
      continue;
    const Strike& strike = scenario.strikes[i];
    auto fault = static_cast<std::size_t>(strike.fault);
    ++steps_[static_cast<std::size_t>(strike.step)][fault];
    for (std::size_t promise = 0; promise < kPromiseCount; ++promise) {
      if (outcome.checks[promise] > 0)
        ++cells_[promise][fault].schedules;
    }
    for (const Violation& violation : outcome.violations) {
      if (violation.promise < kPromiseCount)
        ++cells_[violation.promise][fault].violations;
    }
  }
  harmless_refused_ += outcome.harmless_refused;
  for (const Violation& violation : outcome.violations) {
    ++violations_;
    if (violation.promise == kPromiseCount)
      ++stalled_;
    failures_.push_back({number, scenario.seed, violation});
  }
}

std::uint64_t Matrix::gaps() const {
  std::uint64_t gaps = 0;
  for (const auto& row : cells_) {
    gaps += static_cast<std::uint64_t>(
        std::count_if(row.begin(), row.end(),
                      [](const Cell& cell) { return cell.schedules == 0; }));
  }
  return gaps;
}

void Matrix::Print(std::ostream& out) const {
  PrintCells(out);
  PrintSteps(out);
  PrintFailures(out);
  out << "seeds " << settings_.seed << " to "
      << settings_.seed + settings_.schedules - 1 << ", pairs of faults "
      << pairs_ << ", gaps " << gaps() << ", stalled programs " << stalled_
      << ", harmless calls quarantined " << harmless_refused_ << "\n";
  std::uint64_t red = 0;
  for (const auto& row : cells_) {
    red += static_cast<std::uint64_t>(
        std::count_if(row.begin(), row.end(),
                      [](const Cell& cell) { return cell.violations > 0; }));
  }
  out << "fault-matrix: promises=" << kPromiseCount << " faults=" << kFaultCount
      << " schedules=" << run_ << " violations=" << violations_
      << " red=" << red << std::endl;
}

void Matrix::PrintCells(std::ostream& out) const {
  out << "schedules per cell; ! marks violations, \"gap\" an uncovered cell\n"
      << std::left << std::setw(20) << "fault";
  for (std::size_t promise = 0; promise < kPromiseCount; ++promise)
    out << std::right << std::setw(7) << "P" + std::to_string(promise + 1);
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
  out << "strikes per step\n" << std::left << std::setw(20) << "fault";
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
    if (++shown > kMaxFailures) {
      out << "... " << failures_.size() - kMaxFailures << " more\n";
      return;
    }
    std::string promise =
        failure.violation.promise == kPromiseCount
            ? "stalled"
            : "P" + std::to_string(failure.violation.promise + 1);
    out << "violation " << promise << " in schedule " << failure.number
        << " (seed " << failure.seed << "; "
        << Describe(ScenarioAt(failure.number))
        << "): " << failure.violation.text << "\n";
  }
}

}  // namespace vanillalever::faultmatrix
