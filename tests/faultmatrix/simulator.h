#ifndef VANILLALEVER_TESTS_FAULTMATRIX_SIMULATOR_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_SIMULATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::faultmatrix {

using base::Duration;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

// Discrete-event simulator. Events at the same time run in the order in which
// they were scheduled, so runs with the same seed are identical.
class Simulator {
 public:
  explicit Simulator(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  base::Random& random() { return random_; }

  // Uniform in [low, high], in milliseconds.
  Duration RandomDuration(int low, int high);
  // True with the given probability, in percent.
  bool RandomChance(int percent);

  void Schedule(Duration delay, std::function<void()> event);
  // Runs the next event; returns false if none is left.
  bool RunNext();
  std::uint64_t steps() const { return steps_; }

 private:
  base::Random random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t next_sequence_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

// One run of a simulated process; a restart creates a new object.
class Process {
 public:
  Process(Simulator& simulator, std::string address)
      : simulator_(simulator), address_(std::move(address)) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& address() const { return address_; }
  bool alive() const { return alive_; }
  bool paused() const { return simulator_.now() < paused_until_; }
  bool running() const { return alive_ && !paused(); }

  // Terminates the process; its pending events do not run.
  void Kill() { alive_ = false; }
  // Suspends the process; its due events run when it resumes.
  void Pause(Duration time) { paused_until_ = simulator_.now() + time; }

  // Runs `event` in this process after `delay`.
  void Schedule(Duration delay, std::function<void()> event);
  // Runs `event` every `interval` until the process ends.
  void ScheduleEvery(Duration interval, const std::function<void()>& event);

 private:
  Simulator& simulator_;
  std::string address_;
  bool alive_ = true;
  TimePoint paused_until_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_SIMULATOR_H_
