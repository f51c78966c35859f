#ifndef VANILLALEVER_PROGRAM_TESTS_PROGRAM_FIXTURE_H_
#define VANILLALEVER_PROGRAM_TESTS_PROGRAM_FIXTURE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"
#include "vanillalever/program/program.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::program {

inline constexpr base::TimePoint kStart{std::chrono::hours(1)};
inline LoopGuard NoLimits() {
  return LoopGuard(LoopLimits());
}

inline ProgramSpec MakeSpec(std::int64_t budget = 10'000) {
  return {ProgramId::ForRoot("casca", "lot-7"),
          "incarnation-1",
          "casca",
          "quality-review",
          ProgramId(),
          "lot-7",
          budget};
}

inline CreateRequest MakeRequest(const std::string& key,
                                 std::int64_t budget = 1000) {
  CreateRequest request;
  request.organisation = "casca";
  request.program_class = "review";
  request.key = key;
  request.budget = budget;
  request.incarnation = "life-of-" + key;
  return request;
}

inline CallRequest MakeCall(std::uint32_t turn,
                            bool repeatable = true,
                            std::string fingerprint = "") {
  if (fingerprint.empty())
    fingerprint = "fingerprint-" + std::to_string(turn);
  return {turn, std::move(fingerprint), "models", "chat", repeatable, 100};
}

inline AttemptTarget MakeTarget(std::string token,
                                std::string server = "10.0.0.1:7000") {
  return {std::move(server), "sidecar-1", 3, std::move(token), true};
}

inline Answer MakeAnswer(std::string body, std::int64_t cost = 40) {
  return {TurnOutcome::kDone, std::move(body), "", 30, 10, cost};
}

// Commits all changes and returns the content of the commit.
inline ProgramCommit Commit(Program& program) {
  ProgramCommit commit = program.BeginCommit(kStart);
  program.CommitApplied(program.head_version() + 1);
  return commit;
}

// Runs one turn from admission to its commit.
inline void RunTurn(Program& program, std::uint32_t turn) {
  program.Admit(MakeCall(turn), NoLimits(), kStart);
  AttemptKey key =
      program.StartAttempt(turn, MakeTarget("token-" + std::to_string(turn)));
  if (program.dispatch_state(key) == DispatchState::kAwaitCommit)
    Commit(program);
  program.MarkDispatched(key);
  program.Accept(key, MakeAnswer("answer-" + std::to_string(turn)));
  Commit(program);
}

// Name of the error code that `function` throws, followed by the
// base::ExecutionStatus value unless that is kNotRun; "no error" if it throws
// nothing.
template <typename Function>
std::string CodeOf(Function&& function) {
  try {
    function();
  } catch (const base::Error& error) {
    const auto& [code, message, step, peer, ran, retry_after] = error.info();
    std::string text(base::kErrorCodeNames.name(code));
    if (ran == base::ExecutionStatus::kNotRun)
      return text;
    return text + "/" + std::string(base::kExecutionStatusNames.name(ran));
  }
  return "no error";
}

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_TESTS_PROGRAM_FIXTURE_H_
