#include <algorithm>
#include <utility>

#include "cluster.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::faultmatrix {

namespace {

// Indices of the guarantees: turns run in order (kP1), answered turns are
// durable (kP2), programs stay within their budgets (kP3), caches of ended
// programs are released (kP4), answers match their turns (kP5), a call refused
// as "not run" never ran (kP6), a non-repeatable call runs at most once (kP7),
// a leaving server gets no new work (kP8), a planned stop interrupts no request
// (kP9), configuration changes are neither lost nor reverted (kP10).
enum : std::size_t { kP1, kP2, kP3, kP4, kP5, kP6, kP7, kP8, kP9, kP10 };

// Time for which a leaving server may still receive new work.
constexpr Duration kMaxLeaveNoticeDelay = seconds(3);

// Servers that one request may crash: the first, one that runs it alone, and
// those that run it before the crash report arrives.
constexpr int kMaxServerCrashes = 5;

std::string Name(const std::string& program, std::uint32_t turn) {
  return program + " turn " + std::to_string(turn);
}

}  // namespace

void Cluster::Check(std::size_t guarantee, bool ok, const std::string& text) {
  if (any_injected_ && guarantee < kGuaranteeCount)
    ++outcome_.checks[guarantee];
  if (!ok)
    outcome_.violations.push_back({guarantee, text});
}

bool Cluster::CallersDone() const {
  return !callers_.empty() &&
         std::all_of(callers_.begin(), callers_.end(),
                     [](const auto& caller) { return caller->done(); });
}

bool Cluster::CachesReleased() const {
  return std::all_of(backends_.begin(), backends_.end(), [](const auto& item) {
    return item.second->cache().empty();
  });
}

void Cluster::RecordCrash(const std::string& fingerprint) {
  ++crashes_[fingerprint];
}

void Cluster::RecordPlannedStop(const Process& process,
                                std::size_t interrupted) {
  Check(kP9, interrupted == 0,
        "planned stop of " + process.address() + " interrupted " +
            std::to_string(interrupted) + " requests");
}

void Cluster::CheckNotRun(const std::string& program, std::uint32_t turn) {
  auto ran = std::count_if(
      executions_.begin(), executions_.end(), [&](const Execution& execution) {
        return execution.program == program && execution.turn == turn;
      });
  Check(kP6, ran == 0, Name(program, turn) + " was refused as not run and ran");
}

void Cluster::CheckAnswer(const std::string& program,
                          std::uint32_t turn,
                          const program::Answer& answer,
                          const std::optional<program::Answer>& earlier) {
  if (earlier) {
    Check(kP5, *earlier == answer,
          Name(program, turn) + " has two answers: " + earlier->body + " / " +
              answer.body);
    return;
  }
  if (answer.outcome == program::TurnOutcome::kUnknown)
    return;
  std::string prefix =
      "answer " + program + " turn " + std::to_string(turn) + " ";
  Check(kP5, answer.body.starts_with(prefix) && answer.body.ends_with(" end"),
        Name(program, turn) + " was answered with: " + answer.body);
}

void Cluster::CheckTurnOrder() {
  for (const auto& caller : callers_) {
    // By turn: start of the first execution, and end of the execution whose
    // answer the caller received.
    std::map<std::uint32_t, TimePoint> first;
    std::map<std::uint32_t, TimePoint> answered;
    for (const Execution& execution : executions_) {
      if (execution.program != caller->id().text())
        continue;
      first.emplace(execution.turn, execution.started);
      auto turn = caller->turns().find(execution.turn);
      if (turn != caller->turns().end() && turn->second.answer &&
          turn->second.answer->body == execution.answer) {
        answered[execution.turn] = execution.ended;
      }
    }
    for (const auto& [turn, end] : answered) {
      auto next = first.upper_bound(turn);
      Check(
          kP1, next == first.end() || next->second >= end,
          Name(caller->id().text(), turn) + " ended after a later turn began");
    }
    // A non-repeatable call never starts after a call of a later turn.
    for (const Execution& execution : executions_) {
      if (execution.repeatable || execution.program != caller->id().text())
        continue;
      auto next = first.upper_bound(execution.turn);
      Check(
          kP1, next == first.end() || next->second >= execution.started,
          Name(execution.program, execution.turn) + " ran after a later turn");
    }
  }
}

void Cluster::CheckHistories() {
  for (const auto& caller : callers_) {
    Check(kGuaranteeCount, caller->done(),
          caller->id().text() + " has not ended: " + caller->last_error());
    const auto& table = platform_.table();
    auto head = table.find(program::ProgramCodec::HeadKey(caller->id()));
    if (head == table.end()) {
      Check(kP2, !caller->created(), caller->id().text() + " is not stored");
      continue;
    }
    program::ProgramHead stored =
        program::ProgramCodec::DecodeHead(head->first, head->second.value);
    for (const auto& [number, turn] : caller->turns()) {
      if (!turn.answer)
        continue;
      std::string key = program::ProgramCodec::TurnKey(caller->id(), number);
      auto row = table.find(key);
      bool same = row != table.end();
      if (same) {
        auto record = program::ProgramCodec::DecodeTurn(
            key, row->second.value, stored.spec.incarnation);
        same = record.answer == *turn.answer;
      }
      Check(kP2, same,
            Name(caller->id().text(), number) + " differs from its history");
    }
  }
}

void Cluster::CheckBudgets() {
  for (const auto& caller : callers_) {
    std::set<std::string> family{caller->id().text()};
    for (const auto& other : callers_) {
      if (other->parent() == caller->id())
        family.insert(other->id().text());
    }
    std::int64_t spent = 0;
    for (const Execution& execution : executions_) {
      if (family.count(execution.program) > 0)
        spent += execution.cost;
    }
    Check(kP3, spent <= caller->budget(),
          caller->id().text() + " spent " + std::to_string(spent) + " of " +
              std::to_string(caller->budget()));
  }
}

void Cluster::CheckCaches() {
  for (const auto& [address, backend] : backends_) {
    if (!backend->engine())
      continue;
    Check(kP4, backend->cache().empty(),
          address + " holds cache of " +
              (backend->cache().empty()
                   ? ""
                   : backend->cache().begin()->first.program));
  }
}

void Cluster::CheckExecutedOnce() {
  std::map<std::pair<std::string, std::uint32_t>, int> runs;
  for (const Execution& execution : executions_) {
    if (!execution.repeatable)
      ++runs[{execution.program, execution.turn}];
  }
  for (const auto& [call, count] : runs) {
    Check(kP7, count == 1,
          Name(call.first, call.second) + " ran " + std::to_string(count) +
              " times");
  }
  for (const auto& caller : callers_) {
    for (const auto& [number, turn] : caller->turns()) {
      if (turn.sent > 0 && turn.not_run == turn.sent)
        CheckNotRun(caller->id().text(), number);
    }
  }
}

void Cluster::CheckLeaving() {
  auto check = [this](const SidecarModel& sidecar) {
    if (!sidecar.leaving_since())
      return;
    auto last = sidecar.last_accepted();
    Check(
        kP8, !last || *last <= *sidecar.leaving_since() + kMaxLeaveNoticeDelay,
        sidecar.incarnation() + " received work after its planned stop began");
  };
  for (const auto& [address, sidecar] : sidecars_)
    check(*sidecar);
  for (const auto& sidecar : ended_sidecars_)
    check(*sidecar);
}

void Cluster::CheckCrashes() {
  for (const auto& [fingerprint, count] : crashes_) {
    Check(kGuaranteeCount, count <= kMaxServerCrashes,
          "request " + fingerprint + " crashed " + std::to_string(count) +
              " servers");
  }
  for (const auto& caller : callers_) {
    for (const auto& [number, turn] : caller->turns()) {
      if (turn.quarantined && !turn.crashes)
        ++outcome_.harmless_quarantined;
    }
  }
}

}  // namespace vanillalever::faultmatrix
