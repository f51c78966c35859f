#ifndef VANILLALEVER_PROGRAM_TESTS_FAKE_SIDECAR_H_
#define VANILLALEVER_PROGRAM_TESTS_FAKE_SIDECAR_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "vanillalever/program/attempt.h"
#include "vanillalever/program/call.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::program {

// A request to a sidecar or, once `answer` is set, the reply to it.
struct FakeMessage {
  ProgramId program;
  AttemptKey key;
  AttemptTarget target;
  CallRequest call;
  Answer answer;
};

// Sidecar that runs the work of each token at most once.
struct FakeSidecar {
  std::string name;
  int incarnation_number = 1;
  // Highest fencing token seen.
  std::uint64_t fence = 0;
  // Results by work token; nothing for a revoked token.
  std::map<std::string, std::optional<Answer>> work;
  std::set<ProgramId> caches;
  std::set<ProgramId> released;

  std::string incarnation() const {
    return name + "#" + std::to_string(incarnation_number);
  }

  // Returns the result of the work, which runs at the first request only, or
  // nothing if the request is refused.
  std::optional<Answer> Execute(const ProgramId& program,
                                const AttemptTarget& target,
                                const std::function<Answer()>& run) {
    if (incarnation() != target.sidecar_incarnation || target.fence < fence ||
        released.contains(program))
      return std::nullopt;
    fence = target.fence;
    auto [entry, inserted] = work.emplace(target.work_token, std::nullopt);
    if (inserted)
      entry->second = run();
    return entry->second;
  }

  // Returns the state of the work; revokes work that was never received.
  std::pair<SettleOutcome, Answer> Settle(const AttemptTarget& target,
                                          std::uint64_t owner_fence) {
    if (incarnation() != target.sidecar_incarnation)
      return {SettleOutcome::kIncarnationGone, {}};
    fence = std::max(fence, owner_fence);
    auto& result = work.emplace(target.work_token, std::nullopt).first->second;
    return result ? std::pair(SettleOutcome::kDone, *result)
                  : std::pair(SettleOutcome::kRevoked, Answer());
  }

  void Release(const ProgramId& program) {
    caches.erase(program);
    released.insert(program);
  }

  void Restart() {
    ++incarnation_number;
    work.clear();
    caches.clear();
    released.clear();
  }
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_TESTS_FAKE_SIDECAR_H_
