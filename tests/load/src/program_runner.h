#ifndef VANILLALEVER_LOAD_PROGRAM_RUNNER_H_
#define VANILLALEVER_LOAD_PROGRAM_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "entry_client.h"
#include "program_plan.h"
#include "run_record.h"
#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::load {

// How a caller behaves.
struct RunnerSettings {
  // Time after which a caller gives up repeating one request.
  base::Duration give_up_after = base::seconds(30);
  // Pauses between repetitions, before jitter; doubled up to the maximum.
  base::milliseconds first_backoff{50};
  base::milliseconds max_backoff{2000};
  // Factor of the planned tool pauses.
  double pause_scale = 1;
  // Whether each model call carries the whole conversation, or only its new
  // message because the entry adds the history.
  bool send_history = true;
};

// Runs one program as its caller: creates it, makes its numbered turns in
// order, repeats a turn after an error with the same number and body, runs its
// sub-agents, compares the history and ends it.
class ProgramRunner {
 public:
  ProgramRunner(EntryClient& client,
                const RunnerSettings& settings,
                const PlannedProgram& plan,
                std::string parent_id,
                std::uint64_t seed);

  // Blocks until the program ended or the caller gave up. Returns the records
  // of the program and of its sub-agents.
  std::vector<ProgramRecord> Run();

 private:
  // Sends until the answer is final or the time is up; counts the requests.
  EntryAnswer Repeat(const std::function<EntryAnswer()>& send, int& attempts);
  bool Create();
  // Returns whether the program may go on with the next turn.
  bool RunTurn(std::size_t index);
  void RunChildren();
  nlohmann::json CallBody(const PlannedTurn& turn, const std::string& ref);
  // Whether the answer is complete and belongs to the request.
  bool IsOwnAnswer(const PlannedTurn& turn,
                   const std::string& ref,
                   const EntryAnswer& answer);
  static bool IsOwnEntry(const TurnRecord& turn, const nlohmann::json& entry);
  void CheckHistory();
  void End();

  EntryClient& client_;
  const RunnerSettings& settings_;
  const PlannedProgram& plan_;
  const std::string parent_id_;
  base::Random random_;
  // Program id given by the system.
  std::string id_;
  // Conversation so far, in chat-completions form.
  nlohmann::json messages_ = nlohmann::json::array();
  ProgramRecord record_;
  std::vector<ProgramRecord> child_records_;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_PROGRAM_RUNNER_H_
