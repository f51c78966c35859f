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

// Event queue with injected time. Events at the same time run in the order in
// which they were scheduled, so a seed fixes the whole run.
class Simulator {
 public:
  explicit Simulator(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  base::Random& random() { return random_; }

  // Uniform in [low, high], in milliseconds.
  Duration Between(int low, int high);
  // True with the given probability, in percent.
  bool Chance(int percent);

  void After(Duration delay, std::function<void()> event);
  // Runs one event; false when none is left.
  bool Step();
  std::uint64_t steps() const { return steps_; }

 private:
  base::Random random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t next_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

// One run of a process. A restart makes a new host.
class Host {
 public:
  Host(Simulator& simulator, std::string address)
      : simulator_(simulator), address_(std::move(address)) {}
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& address() const { return address_; }
  bool alive() const { return alive_; }
  bool paused() const { return simulator_.now() < paused_until_; }
  bool running() const { return alive_ && !paused(); }

  // Ends the process: none of its later events run.
  void Kill() { alive_ = false; }
  // Stops the process for a time; its events run when it resumes.
  void Pause(Duration time) { paused_until_ = simulator_.now() + time; }

  // Runs `event` in this process after `delay`.
  void After(Duration delay, std::function<void()> event);
  // Runs `event` every `interval` while the process lives.
  void Every(Duration interval, const std::function<void()>& event);

 private:
  Simulator& simulator_;
  std::string address_;
  bool alive_ = true;
  TimePoint paused_until_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_SIMULATOR_H_
