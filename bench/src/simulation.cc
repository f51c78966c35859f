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

// One-way network latency within a data centre, and interval and additional
// delay of load reports.
constexpr base::Duration kLocalLatency = base::microseconds(200);
constexpr base::Duration kReportInterval = seconds(1);
constexpr base::Duration kReportLag = milliseconds(300);
constexpr base::Duration kRateSampleInterval = milliseconds(200);

// Delay of cache events is exponentially distributed; a share of them is lost.
constexpr double kMeanCacheEventDelaySeconds = 1.0;
constexpr double kCacheEventLossRate = 0.05;

// Share of release messages that are lost, and the interval of resending.
constexpr double kReleaseLossRate = 0.05;
constexpr base::Duration kReleaseRetryInterval = seconds(1);

// Time for which the same servers stay slow.
constexpr base::Duration kSlowdownDuration = seconds(20);
constexpr double kSlowdownSpeed = 0.25;

// Deadline in closed loop, later than the end of any run.
constexpr base::Duration kNoDeadline = std::chrono::hours(10);

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void IncrementSecond(std::vector<double>* series, base::Duration elapsed) {
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
  return kLocalLatency +
         (local ? base::Duration(0) : workload_.data_centre_latency);
}

bool Simulation::IsMeasuring() const {
  return Elapsed() >= settings_.warm_up &&
         Elapsed() < settings_.arrival_duration;
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
    SendCacheEvent(server, change);
  };
  hooks.on_start = [this, server](const CallMessage& message, double prefill) {
    RecordCallStart(server, message, prefill);
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
    SendRelease(server, program);
  };
  hooks.on_wait = [this](const ProgramRun& program, double wait) {
    const auto& settings = workload_.classes[program.shape->program_class];
    if (program.measured && settings.is_short)
      result_.short_wait.push_back(wait);
  };
  hooks.on_turn_done = [this](const TurnShape& turn) {
    if (IsMeasuring())
      useful_work_ += turn.prompt + scheduling::kDecodeWeight * turn.output;
  };
  hooks.on_refused = [this](const ProgramRun& program) {
    if (!program.measured)
      return;
    auto priority = static_cast<std::size_t>(
        workload_.classes[program.shape->program_class].priority);
    ++result_.refusals[priority];
    if (program.arrived_in_peak)
      ++result_.peak_refusals[priority];
  };
  hooks.on_end = [this](const ProgramRun& program, bool finished) {
    RecordProgramEnd(program, finished);
  };
  hooks.on_retry = [this] {
    IncrementSecond(&result_.retries_per_second, Elapsed());
  };
  hooks.on_hedge = [this](double work) { result_.hedged_work += work; };
  entries_.push_back(std::make_unique<EntryModel>(
      workload_, policy_, settings_.seed * kEntries + entry + 1, &events_,
      std::move(hooks)));
  for (std::size_t s = 0; s < workload_.servers; ++s) {
    auto server = static_cast<scheduling::ServerIndex>(s);
    entries_[entry]->SetDistance(server, Latency(entry, server));
  }
}

void Simulation::SendCacheEvent(scheduling::ServerIndex server,
                                const CacheChange& change) {
  std::uint64_t sequence = ++cache_sequences_[server];
  double delay_seconds =
      -kMeanCacheEventDelaySeconds * std::log(1 - random_.Uniform());
  if (random_.Uniform() < kCacheEventLossRate)
    return;
  scheduling::CacheEvent event{.server = server,
                               .sequence = sequence,
                               .program = change.program,
                               .tokens = change.tokens,
                               .time = change.time};
  events_.After(base::Duration(static_cast<std::int64_t>(delay_seconds * 1e9)),
                [this, event] {
                  for (auto& entry : entries_)
                    entry->OnCacheEvent(event);
                });
}

void Simulation::SendRelease(scheduling::ServerIndex server,
                             scheduling::ProgramKey program) {
  base::Duration delay = kLocalLatency + workload_.data_centre_latency;
  while (random_.Uniform() < kReleaseLossRate)
    delay += kReleaseRetryInterval;
  events_.After(
      delay, [this, server, program] { sidecars_[server]->Release(program); });
}

void Simulation::SendLoadReports(scheduling::ServerIndex server) {
  if (sidecars_[server]->down())
    return;
  scheduling::LoadReport report = sidecars_[server]->MakeLoadReport();
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    events_.After(kReportLag + Latency(entry, server),
                  [this, entry, server, report] {
                    entries_[entry]->OnReport(server, report);
                  });
  }
}

void Simulation::RecordCallStart(scheduling::ServerIndex server,
                                 const CallMessage& message,
                                 double prefill) {
  double& computed = computed_tokens_[message.program];
  // Prompt tokens that were computed before and must be computed again.
  double new_tokens = std::max(0.0, message.prompt_tokens - computed);
  double recomputed = std::max(0.0, prefill - std::max(1.0, new_tokens));
  double cached_elsewhere = 0;
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    if (i != server)
      cached_elsewhere =
          std::max(cached_elsewhere,
                   sidecars_[i]->engine().CachedTokens(message.program));
  }
  double cached_here = message.prompt_tokens - prefill;
  computed = std::max(computed, message.prompt_tokens + message.output_tokens);
  if (!IsMeasuring())
    return;
  result_.prefill += prefill;
  result_.recomputed += recomputed;
  result_.recomputed_cached_elsewhere +=
      std::clamp(cached_elsewhere - cached_here, 0.0, recomputed);
}

void Simulation::RecordProgramEnd(const ProgramRun& program, bool finished) {
  end_times_[program.key] = events_.now();
  computed_tokens_.erase(program.key);
  if (program.parent != nullptr)
    return;
  --active_programs_;
  if (settings_.closed_loop > 0) {
    events_.After(base::Duration(0), [this] { StartClosedLoopProgram(); });
    return;
  }
  if (finished)
    IncrementSecond(&result_.finished_per_second, Elapsed());
  if (!program.measured)
    return;
  const ClassSettings& settings =
      workload_.classes[program.shape->program_class];
  auto priority = static_cast<std::size_t>(settings.priority);
  double latency = Seconds(events_.now() - program.start);
  ++result_.arrived;
  result_.peak_arrived += program.arrived_in_peak ? 1 : 0;
  result_.peak_arrived_by_priority[priority] += program.arrived_in_peak ? 1 : 0;
  if (!finished) {
    result_.program_latency.push_back(2 * Seconds(settings.deadline));
    return;
  }
  ++result_.finished;
  result_.peak_finished += program.arrived_in_peak ? 1 : 0;
  result_.peak_finished_by_priority[priority] +=
      program.arrived_in_peak ? 1 : 0;
  result_.program_latency.push_back(latency);
  result_.path_ratio.push_back(latency /
                               CriticalPath(workload_, *program.shape));
}

void Simulation::SampleEndedKv() {
  double total = 0;
  for (auto& sidecar : sidecars_) {
    for (const auto& [program, tokens] : sidecar->engine().cached_programs()) {
      auto found = end_times_.find(program);
      if (found != end_times_.end() &&
          events_.now() - found->second > kMaxReleaseDelay)
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
  ++active_programs_;
  next_entry_ = (next_entry_ + 1) % kEntries;
  entries_[next_entry_]->StartProgram(std::move(program));
}

void Simulation::StartClosedLoopProgram() {
  if (Elapsed() >= settings_.arrival_duration)
    return;
  closed_loop_programs_.push_back(DrawProgram(workload_, random_));
  StartProgram(&closed_loop_programs_.back(), Elapsed());
}

void Simulation::ScheduleArrivals() {
  if (settings_.closed_loop > 0) {
    for (std::size_t i = 0; i < settings_.closed_loop; ++i) {
      // Spread over half the warm-up, so that programs are out of phase.
      events_.At(start_ + settings_.warm_up / 2 * static_cast<int>(i) /
                              static_cast<int>(settings_.closed_loop),
                 [this] { StartClosedLoopProgram(); });
    }
    return;
  }
  arrivals_ = DrawArrivals(workload_, settings_.rate,
                           settings_.arrival_duration, settings_.seed);
  pending_arrivals_ = arrivals_.size();
  for (const Arrival& arrival : arrivals_) {
    events_.At(start_ + arrival.time, [this, &arrival] {
      --pending_arrivals_;
      StartProgram(&arrival.shape, arrival.time);
    });
  }
}

void Simulation::ScheduleRateSamples() {
  events_.After(kRateSampleInterval, [this] {
    for (auto& sidecar : sidecars_)
      sidecar->SampleRate();
    // Programs may end long after the last arrival.
    if (Elapsed() < settings_.arrival_duration || active_programs_ > 0)
      ScheduleRateSamples();
  });
}

void Simulation::ScheduleSlowdowns() {
  auto epochs =
      static_cast<int>(settings_.arrival_duration / kSlowdownDuration) + 1;
  base::Random random(settings_.seed * 104729 + 3);
  // Carries the fraction over, so that pools of any size have one slow server
  // in ten on average.
  double carry = 0;
  for (int epoch = 0; epoch < epochs; ++epoch) {
    carry += static_cast<double>(workload_.servers) / 10;
    for (; carry >= 1; carry -= 1) {
      std::size_t server = random.Below(workload_.servers);
      base::TimePoint from = start_ + epoch * kSlowdownDuration;
      events_.At(from, [this, server] {
        sidecars_[server]->SetSpeed(kSlowdownSpeed);
      });
      events_.At(from + kSlowdownDuration - base::Duration(1),
                 [this, server] { sidecars_[server]->SetSpeed(1); });
    }
  }
}

void Simulation::ScheduleOutage() {
  for (std::size_t i = 0; i < sidecars_.size(); i += 2) {
    events_.At(start_ + settings_.outage, [this, i] { sidecars_[i]->Crash(); });
    events_.At(start_ + settings_.outage + kOutageDuration,
               [this, i] { sidecars_[i]->Restart(); });
  }
}

RunResult Simulation::Run() {
  ScheduleArrivals();
  ScheduleRateSamples();
  if (settings_.slowed)
    ScheduleSlowdowns();
  if (settings_.outage > base::Duration(0))
    ScheduleOutage();
  // Reports of different servers are spread over the interval.
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    auto server = static_cast<scheduling::ServerIndex>(i);
    base::Duration offset = kReportInterval * static_cast<int>(i) /
                            static_cast<int>(sidecars_.size());
    for (base::Duration at = offset; at < 4 * settings_.arrival_duration;
         at += kReportInterval) {
      events_.At(start_ + at, [this, server] { SendLoadReports(server); });
    }
  }
  for (base::Duration at = settings_.warm_up; at < settings_.arrival_duration;
       at += seconds(1)) {
    events_.At(start_ + at, [this] { SampleEndedKv(); });
  }
  std::vector<base::Duration> busy(sidecars_.size());
  auto add_totals = [this, &busy](int sign) {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      sidecars_[i]->engine().Advance(events_.now());
      busy[i] += sign * sidecars_[i]->engine().busy();
      result_.work += sign * sidecars_[i]->engine().work_done();
    }
  };
  events_.At(start_ + settings_.warm_up, [&add_totals] { add_totals(-1); });
  events_.At(start_ + settings_.arrival_duration,
             [&add_totals] { add_totals(1); });
  while (events_.Step()) {
    bool accepting = Elapsed() <= settings_.arrival_duration;
    if (!accepting && (active_programs_ == 0 || settings_.closed_loop > 0))
      break;
  }
  base::Duration total{0};
  for (base::Duration time : busy)
    total += time;
  base::Duration measured = settings_.arrival_duration - settings_.warm_up;
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
