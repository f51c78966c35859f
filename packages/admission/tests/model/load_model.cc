#include "load_model.h"

#include <algorithm>
#include <utility>

namespace vanillalever::admission {
namespace {

constexpr double kStep = 0.005;
constexpr int kGateways = 6;
constexpr int kSlots = 6;
constexpr int kQueue = 18;
// Time of a turn at a server, and of the pause after it.
constexpr double kTurnSeconds = 0.15;
constexpr double kPauseSeconds = 0.2;
constexpr double kGoalSeconds = 0.25;
constexpr double kLimitSeconds = 2.5;
// A program's aim as a factor on its time at idle servers.
constexpr double kAimFactor = 1.4;
constexpr int kTries = 3;
constexpr int kAttempts = 2;
constexpr double kHonouredShare = 1.0 / 3;
// Age of what a gateway knows of the others' requests, in steps.
constexpr std::size_t kEstimateAge = 20;
constexpr double kMaxWaitShare = 0.35;

base::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

LoadModel::LoadModel(LoadScenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)),
      random_(seed),
      gateways_(kGateways),
      servers_(static_cast<std::size_t>(scenario_.servers)),
      own_(kGateways, std::vector<int>(servers_.size())) {}

base::TimePoint LoadModel::now() const {
  return base::TimePoint(std::chrono::hours(1)) + ToDuration(time_);
}

void LoadModel::Run() {
  constexpr double kSettleSeconds = 12;
  for (; time_ < scenario_.end + kSettleSeconds; time_ += kStep) {
    std::vector<int> open;
    for (const Server& server : servers_)
      open.push_back(server.open());
    history_.push_back(std::move(open));
    own_history_.push_back(own_);
    if (history_.size() > kEstimateAge) {
      history_.pop_front();
      own_history_.pop_front();
    }
    if (time_ < scenario_.end)
      Arrive();
    std::vector<std::size_t> due;
    std::erase_if(events_, [&](const Event& event) {
      if (event.at > time_)
        return false;
      due.push_back(event.program);
      return true;
    });
    for (std::size_t program : due)
      Offer(program);
    for (Work& work : std::exchange(waiting_, {})) {
      if (Place(work))
        continue;
      if (time_ > work.wait_until)
        Fail(work.program, 0.25 + 0.25 * random_.Uniform());
      else
        waiting_.push_back(work);
    }
    for (Server& server : servers_)
      Step(server);
  }
}

void LoadModel::Arrive() {
  bool burst = time_ >= scenario_.burst_start && time_ < scenario_.burst_end;
  for (std::size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
    const ProgramKind& spec = scenario_.kinds[kind];
    double rate = spec.rate * (burst ? scenario_.burst_factor : 1);
    if (random_.Uniform() >= rate * kStep)
      continue;
    Program program;
    program.kind = static_cast<int>(kind);
    program.hash = random_.Next();
    program.began = time_;
    program.turns_left = spec.turns;
    program.aim = time_ + kGoalSeconds +
                  kAimFactor * (spec.turns * (kTurnSeconds + kPauseSeconds));
    programs_.push_back(program);
    StartTurn(programs_.size() - 1);
  }
}

void LoadModel::StartTurn(std::size_t id) {
  Program& program = programs_[id];
  program.attempts = 0;
  program.limit = time_ + kLimitSeconds;
  Offer(id);
}

void LoadModel::Offer(std::size_t id) {
  Program& program = programs_[id];
  if (program.attempts == 0)
    program.limit = time_ + kLimitSeconds;
  ++program.attempts;
  Work work;
  work.program = id;
  work.gateway =
      static_cast<int>((program.hash + program.attempts) % kGateways);
  work.limit = program.limit;
  work.wait_until = time_ + kMaxWaitShare * (program.limit - time_);
  if (scenario_.admission) {
    const ProgramKind& kind =
        scenario_.kinds[static_cast<std::size_t>(program.kind)];
    ServiceLoad load;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      load.slots += kSlots;
      load.open += KnownOpen(work.gateway, i);
    }
    OfferedRequest offered;
    offered.service = "engines";
    offered.program_hash = program.hash;
    offered.follows_earlier_work = !program.turn_ends.empty();
    offered.priority = kind.priority;
    offered.goal = ToDuration(kGoalSeconds);
    offered.time_left = ToDuration(program.limit - time_);
    AdmissionDecision decision =
        gateways_[static_cast<std::size_t>(work.gateway)].Decide(
            offered, load, now(), random_);
    if (!decision.admitted)
      return Fail(id,
                  std::chrono::duration<double>(decision.retry_after).count());
  }
  if (!Place(work))
    waiting_.push_back(work);
}

int LoadModel::KnownOpen(int gateway, std::size_t server) const {
  auto own = static_cast<std::size_t>(gateway);
  int others = history_.front()[server] - own_history_.front()[own][server];
  return std::max(0, others) + own_[own][server];
}

bool LoadModel::Place(Work work) {
  std::size_t best = 0;
  double best_open = 1e9;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    double open = KnownOpen(work.gateway, i) + random_.Uniform();
    if (open < best_open) {
      best = i;
      best_open = open;
    }
  }
  Server& server = servers_[best];
  if (server.open() >= kSlots + kQueue)
    return false;
  work.sent = time_;
  work.open_at_send = static_cast<int>(best_open);
  work.left = kTurnSeconds * (0.6 + 0.8 * random_.Uniform());
  ++own_[static_cast<std::size_t>(work.gateway)][best];
  server.queue.push_back(work);
  return true;
}

void LoadModel::Fail(std::size_t id, double delay) {
  Program& program = programs_[id];
  double left = program.limit - time_;
  if (program.attempts < kAttempts && left > 0) {
    events_.push_back({time_ + std::min(delay, kHonouredShare * left), id});
    return;
  }
  program.attempts = 0;
  if (++program.tries >= kTries) {
    program.failed = true;
    program.ended = time_;
    return;
  }
  events_.push_back({time_ + kStep, id});
}

void LoadModel::Complete(const Work& work) {
  gateways_[static_cast<std::size_t>(work.gateway)].OnCompleted(
      "engines", ToDuration(time_ - work.sent), work.open_at_send, kSlots);
  Program& program = programs_[work.program];
  program.turn_ends.push_back(time_);
  program.tries = 0;
  program.attempts = 0;
  if (--program.turns_left == 0)
    program.ended = time_;
  else
    events_.push_back({time_ + kPauseSeconds, work.program});
}

void LoadModel::Step(Server& server) {
  auto index = static_cast<std::size_t>(&server - servers_.data());
  std::vector<Work> ended;
  while (static_cast<int>(server.running.size()) < kSlots &&
         !server.queue.empty()) {
    server.running.push_back(server.queue.front());
    server.queue.pop_front();
  }
  auto take = [&](auto& works, auto done) {
    for (std::size_t i = 0; i < works.size();) {
      if (!done(works[i])) {
        ++i;
        continue;
      }
      ended.push_back(works[i]);
      --own_[static_cast<std::size_t>(works[i].gateway)][index];
      works.erase(works.begin() + static_cast<std::ptrdiff_t>(i));
    }
  };
  take(server.queue, [&](const Work& work) { return time_ > work.limit; });
  take(server.running, [&](Work& work) {
    work.left -= kStep;
    return work.left <= 0 || time_ > work.limit;
  });
  for (const Work& work : ended) {
    if (work.left <= 0)
      Complete(work);
    else
      Fail(work.program, 0);
  }
}

ProgramOutcomes LoadModel::outcomes(int kind, double from, double to) const {
  ProgramOutcomes outcomes;
  for (const Program& program : programs_) {
    if (program.kind != kind || program.began < from || program.began >= to)
      continue;
    ++outcomes.asked;
    if (!program.failed && program.ended >= 0 && program.ended <= program.aim)
      ++outcomes.in_time;
  }
  return outcomes;
}

double LoadModel::useful_share(double from, double to) const {
  double turns = 0;
  for (const Program& program : programs_) {
    if (program.failed || program.ended < 0 || program.ended > program.aim)
      continue;
    turns += static_cast<double>(
        std::count_if(program.turn_ends.begin(), program.turn_ends.end(),
                      [&](double end) { return end >= from && end < to; }));
  }
  return turns * kTurnSeconds /
         ((to - from) * static_cast<double>(servers_.size()) * kSlots);
}

}  // namespace vanillalever::admission
