#include "simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace vanillalever::bench {
namespace {

using base::milliseconds;
using base::seconds;

constexpr std::size_t kEntries = 3;

// Network latency inside a data centre, and the additional lag of a load
// report.
constexpr base::Duration kLocalLatency = base::microseconds(200);
constexpr base::Duration kReportInterval = seconds(1);
constexpr base::Duration kReportLag = milliseconds(300);
constexpr base::Duration kTickInterval = milliseconds(200);

// Cache events: mean lateness in seconds, and share that is lost.
constexpr double kCacheEventLateness = 1.0;
constexpr double kCacheEventLoss = 0.05;

// Share of release messages that are lost, and when they are repeated.
constexpr double kReleaseLoss = 0.05;
constexpr base::Duration kReleaseRepeat = seconds(1);

// Time for which the same servers stay slowed.
constexpr base::Duration kSlowdownLength = seconds(20);
constexpr double kSlowdownSpeed = 0.25;

// Deadline in closed loop, beyond the end of any run.
constexpr base::Duration kNoDeadline = std::chrono::hours(10);

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void CountSecond(std::vector<double>* series, base::Duration elapsed) {
  auto second = static_cast<std::size_t>(Seconds(elapsed));
  if (series->size() <= second)
    series->resize(second + 1);
  (*series)[second] += 1;
}

}  // namespace

Simulation::Simulation(const WorkloadSettings& workload,
                       const Policy& policy,
                       const RunSettings& settings)
    : workload_(workload),
      policy_(policy),
      settings_(settings),
      start_(events_.now()),
      random_(settings.seed * 7919 + 1),
      cache_sequences_(workload.servers) {
  for (std::size_t i = 0; i < workload_.servers; ++i)
    AddSidecar(static_cast<scheduling::ServerIndex>(i));
  for (std::size_t i = 0; i < kEntries; ++i)
    AddEntry(i);
}

base::Duration Simulation::Latency(std::size_t entry,
                                   scheduling::ServerIndex server) const {
  bool local =
      entry % workload_.data_centres == server % workload_.data_centres;
  return kLocalLatency + (local ? base::Duration(0) : workload_.distance);
}

bool Simulation::Measuring() const {
  return Elapsed() >= settings_.warm_up && Elapsed() < settings_.length;
}

void Simulation::AddSidecar(scheduling::ServerIndex server) {
  SidecarModel::Hooks hooks;
  hooks.on_result = [this, server](const CallResult& result) {
    auto found = attempt_entries_.find(result.id);
    std::size_t entry = found->second;
    attempt_entries_.erase(found);
    events_.After(Latency(entry, server),
                  [this, entry, result] { entries_[entry]->OnResult(result); });
  };
  hooks.on_first_token = [this](const FirstToken& token) {
    std::size_t entry = attempt_entries_.at(token.id);
    entries_[entry]->OnFirstToken(token);
  };
  hooks.on_cache = [this, server](const CacheChange& change) {
    DeliverCacheChange(server, change);
  };
  hooks.on_start = [this, server](const CallMessage& message, double prefill) {
    CountStart(server, message, prefill);
  };
  sidecars_.push_back(std::make_unique<SidecarModel>(
      workload_.engine, policy_, &events_, std::move(hooks)));
}

void Simulation::AddEntry(std::size_t entry) {
  EntryModel::Hooks hooks;
  hooks.send = [this, entry](scheduling::ServerIndex server,
                             const CallMessage& message) {
    attempt_entries_[message.id] = entry;
    events_.After(Latency(entry, server), [this, server, message] {
      sidecars_[server]->Receive(message);
    });
  };
  hooks.cancel = [this, entry](scheduling::ServerIndex server,
                               std::uint64_t id) {
    events_.After(Latency(entry, server),
                  [this, server, id] { sidecars_[server]->Cancel(id); });
  };
  hooks.release = [this](scheduling::ServerIndex server,
                         scheduling::ProgramKey program) {
    DeliverRelease(server, program);
  };
  hooks.on_wait = [this](const ProgramRun& program, double wait) {
    const auto& settings = workload_.classes[program.shape->program_class];
    if (program.measured && settings.is_short)
      result_.short_wait.push_back(wait);
  };
  hooks.on_turn_done = [this](const TurnShape& turn) {
    if (Measuring())
      useful_work_ += turn.prompt + scheduling::kDecodeWeight * turn.output;
  };
  hooks.on_refused = [this](const ProgramRun& program) {
    if (!program.measured)
      return;
    auto level = static_cast<std::size_t>(
        workload_.classes[program.shape->program_class].priority);
    ++result_.refusals[level];
    if (program.arrived_in_peak)
      ++result_.peak_refusals[level];
  };
  hooks.on_end = [this](const ProgramRun& program, bool finished) {
    CountEnd(program, finished);
  };
  hooks.on_retry = [this] { CountSecond(&result_.retries_at, Elapsed()); };
  hooks.on_hedge = [this](double work) { result_.hedged_work += work; };
  entries_.push_back(std::make_unique<EntryModel>(
      workload_, policy_, settings_.seed * kEntries + entry + 1, &events_,
      std::move(hooks)));
  for (std::size_t s = 0; s < workload_.servers; ++s) {
    auto server = static_cast<scheduling::ServerIndex>(s);
    entries_[entry]->SetDistance(server, Latency(entry, server));
  }
}

void Simulation::DeliverCacheChange(scheduling::ServerIndex server,
                                    const CacheChange& change) {
  std::uint64_t sequence = ++cache_sequences_[server];
  double late = -kCacheEventLateness * std::log(1 - random_.Uniform());
  if (random_.Uniform() < kCacheEventLoss)
    return;
  scheduling::CacheEvent event{.server = server,
                               .sequence = sequence,
                               .program = change.program,
                               .tokens = change.tokens,
                               .time = change.time};
  events_.After(base::Duration(static_cast<std::int64_t>(late * 1e9)),
                [this, event] {
                  for (auto& entry : entries_)
                    entry->OnCacheEvent(event);
                });
}

void Simulation::DeliverRelease(scheduling::ServerIndex server,
                                scheduling::ProgramKey program) {
  base::Duration delay = kLocalLatency + workload_.distance;
  while (random_.Uniform() < kReleaseLoss)
    delay += kReleaseRepeat;
  events_.After(
      delay, [this, server, program] { sidecars_[server]->Release(program); });
}

void Simulation::DeliverReports(scheduling::ServerIndex server) {
  if (sidecars_[server]->down())
    return;
  scheduling::LoadReport report = sidecars_[server]->Report();
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    events_.After(kReportLag + Latency(entry, server),
                  [this, entry, server, report] {
                    entries_[entry]->OnReport(server, report);
                  });
  }
}

void Simulation::CountStart(scheduling::ServerIndex server,
                            const CallMessage& message,
                            double prefill) {
  double& computed = computed_[message.program];
  // What was computed before for this program and must be computed again.
  double fresh = std::max(0.0, message.prompt_tokens - computed);
  double again = std::max(0.0, prefill - std::max(1.0, fresh));
  double held = 0;
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    if (i != server)
      held = std::max(held, sidecars_[i]->engine().Cached(message.program));
  }
  double missing = message.prompt_tokens - prefill;
  computed = std::max(computed, message.prompt_tokens + message.output_tokens);
  if (!Measuring())
    return;
  result_.prefill += prefill;
  result_.recomputed += again;
  result_.recomputed_held += std::clamp(held - missing, 0.0, again);
}

void Simulation::CountEnd(const ProgramRun& program, bool finished) {
  ended_[program.key] = events_.now();
  computed_.erase(program.key);
  if (program.parent != nullptr)
    return;
  --open_programs_;
  if (settings_.closed_loop > 0) {
    events_.After(base::Duration(0), [this] { StartClosedLoopProgram(); });
    return;
  }
  if (finished)
    CountSecond(&result_.finished_at, Elapsed());
  if (!program.measured)
    return;
  const ClassSettings& settings =
      workload_.classes[program.shape->program_class];
  auto level = static_cast<std::size_t>(settings.priority);
  double latency = Seconds(events_.now() - program.start);
  ++result_.arrived;
  result_.peak_arrived += program.arrived_in_peak ? 1 : 0;
  result_.peak_arrived_by[level] += program.arrived_in_peak ? 1 : 0;
  if (!finished) {
    result_.program_latency.push_back(2 * Seconds(settings.deadline));
    return;
  }
  ++result_.finished;
  result_.peak_finished += program.arrived_in_peak ? 1 : 0;
  result_.peak_finished_by[level] += program.arrived_in_peak ? 1 : 0;
  result_.program_latency.push_back(latency);
  result_.path_ratio.push_back(latency /
                               CriticalPath(workload_, *program.shape));
}

void Simulation::SampleEndedKv() {
  double total = 0;
  for (auto& sidecar : sidecars_) {
    for (const auto& [program, tokens] : sidecar->engine().contents()) {
      auto found = ended_.find(program);
      if (found != ended_.end() &&
          events_.now() - found->second > kReleaseBound)
        total += tokens;
    }
  }
  result_.ended_kv_mean += total;
  result_.ended_kv_max = std::max(result_.ended_kv_max, total);
  kv_samples_ += 1;
}

void Simulation::StartProgram(const ProgramShape* shape, base::Duration time) {
  const ClassSettings& settings = workload_.classes[shape->program_class];
  auto program = std::make_unique<ProgramRun>();
  program->shape = shape;
  program->start = events_.now();
  program->deadline =
      events_.now() +
      (settings_.closed_loop > 0 ? kNoDeadline : settings.deadline);
  program->arrived_in_peak = InPeak(workload_, time);
  program->measured = time >= settings_.warm_up;
  ++open_programs_;
  next_entry_ = (next_entry_ + 1) % kEntries;
  entries_[next_entry_]->Start(std::move(program));
}

void Simulation::StartClosedLoopProgram() {
  if (Elapsed() >= settings_.length)
    return;
  drawn_.push_back(DrawProgram(workload_, random_));
  StartProgram(&drawn_.back(), Elapsed());
}

void Simulation::ScheduleArrivals() {
  if (settings_.closed_loop > 0) {
    for (std::size_t i = 0; i < settings_.closed_loop; ++i) {
      // Spread over the warm-up, so that programs are out of phase.
      events_.At(start_ + settings_.warm_up / 2 * static_cast<int>(i) /
                              static_cast<int>(settings_.closed_loop),
                 [this] { StartClosedLoopProgram(); });
    }
    return;
  }
  arrivals_ =
      DrawArrivals(workload_, settings_.rate, settings_.length, settings_.seed);
  pending_arrivals_ = arrivals_.size();
  for (const Arrival& arrival : arrivals_) {
    events_.At(start_ + arrival.time, [this, &arrival] {
      --pending_arrivals_;
      StartProgram(&arrival.shape, arrival.time);
    });
  }
}

void Simulation::SchedulePeriodic() {
  events_.After(kTickInterval, [this] {
    for (auto& sidecar : sidecars_)
      sidecar->Tick();
    // The last programs end long after the last arrival.
    if (Elapsed() < settings_.length || open_programs_ > 0)
      SchedulePeriodic();
  });
}

void Simulation::ScheduleSlowdowns() {
  auto epochs = static_cast<int>(settings_.length / kSlowdownLength) + 1;
  base::Random random(settings_.seed * 104729 + 3);
  // One server in ten on average, for pools whose size is not a multiple.
  double carry = 0;
  for (int epoch = 0; epoch < epochs; ++epoch) {
    carry += static_cast<double>(workload_.servers) / 10;
    for (; carry >= 1; carry -= 1) {
      std::size_t server = random.Below(workload_.servers);
      base::TimePoint from = start_ + epoch * kSlowdownLength;
      events_.At(from, [this, server] {
        sidecars_[server]->SetSpeed(kSlowdownSpeed);
      });
      events_.At(from + kSlowdownLength - base::Duration(1),
                 [this, server] { sidecars_[server]->SetSpeed(1); });
    }
  }
}

void Simulation::ScheduleOutage() {
  for (std::size_t i = 0; i < sidecars_.size(); i += 2) {
    events_.At(start_ + settings_.outage, [this, i] { sidecars_[i]->Crash(); });
    events_.At(start_ + settings_.outage + kOutageLength,
               [this, i] { sidecars_[i]->Restart(); });
  }
}

RunResult Simulation::Run() {
  ScheduleArrivals();
  SchedulePeriodic();
  if (settings_.slowed)
    ScheduleSlowdowns();
  if (settings_.outage > base::Duration(0))
    ScheduleOutage();
  // Reports are spread over the interval, as servers do not start together.
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    auto server = static_cast<scheduling::ServerIndex>(i);
    base::Duration offset = kReportInterval * static_cast<int>(i) /
                            static_cast<int>(sidecars_.size());
    for (base::Duration at = offset; at < 4 * settings_.length;
         at += kReportInterval) {
      events_.At(start_ + at, [this, server] { DeliverReports(server); });
    }
  }
  for (base::Duration at = settings_.warm_up; at < settings_.length;
       at += seconds(1)) {
    events_.At(start_ + at, [this] { SampleEndedKv(); });
  }
  std::vector<base::Duration> busy(sidecars_.size());
  auto collect = [this, &busy](int sign) {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      sidecars_[i]->engine().Advance(events_.now());
      busy[i] += sign * sidecars_[i]->engine().busy();
      result_.work += sign * sidecars_[i]->engine().work_done();
    }
  };
  events_.At(start_ + settings_.warm_up, [&collect] { collect(-1); });
  events_.At(start_ + settings_.length, [&collect] { collect(1); });
  while (events_.Step()) {
    bool arriving = Elapsed() <= settings_.length;
    if (!arriving && (open_programs_ == 0 || settings_.closed_loop > 0))
      break;
  }
  base::Duration total{0};
  for (base::Duration time : busy)
    total += time;
  base::Duration measured = settings_.length - settings_.warm_up;
  result_.utilisation = Seconds(total) / Seconds(measured) /
                        static_cast<double>(sidecars_.size());
  result_.ended_kv_mean /= std::max(1.0, kv_samples_);
  result_.throughput =
      static_cast<double>(result_.finished) / Seconds(measured);
  result_.useful_work_rate = useful_work_ / Seconds(measured);
  result_.runs = 1;
  return std::move(result_);
}

}  // namespace vanillalever::bench
