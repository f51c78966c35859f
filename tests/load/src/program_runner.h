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

// Behaviour of a caller.
struct RunnerSettings {
  // Time after which a request is no longer retried.
  base::Duration retry_timeout = base::seconds(30);
  // Maximum jitter of the first retry delay; doubled up to max_backoff.
  base::milliseconds initial_backoff{50};
  base::milliseconds max_backoff{2000};
  // Factor on the planned tool pauses.
  double pause_scale = 1;
  // Whether each model call contains the whole conversation; else only the new
  // message, and the entry adds the history.
  bool send_history = true;
};

// Runs one program as its caller: creates it, issues its numbered turns in
// order and retries them with the same number and body, runs its sub-agents,
// checks the history and ends it.
class ProgramRunner {
 public:
  ProgramRunner(EntryClient& client,
                const RunnerSettings& settings,
                const PlannedProgram& plan,
                std::string parent_id,
                std::uint64_t seed);

  // Blocks until the program has ended or failed. Returns the records of the
  // program and of its sub-agents.
  std::vector<ProgramRecord> Run();

 private:
  // Retries until a final response or retry_timeout; counts the requests.
  EntryResponse SendWithRetries(const std::function<EntryResponse()>& send,
                                int& attempts);
  bool CreateProgram();
  // Returns whether the program can continue with the next turn.
  bool RunTurn(std::size_t index);
  void RunChildren();
  nlohmann::json CallBody(const PlannedTurn& turn, const std::string& ref);
  // Whether the response is complete and belongs to the request.
  bool ResponseMatches(const PlannedTurn& turn,
                       const std::string& ref,
                       const EntryResponse& response);
  static bool HistoryEntryMatches(const TurnRecord& turn,
                                  const nlohmann::json& entry);
  void CheckHistory();
  void EndProgram();

  EntryClient& client_;
  const RunnerSettings& settings_;
  const PlannedProgram& plan_;
  const std::string parent_id_;
  base::Random random_;
  // Program id assigned by the system.
  std::string id_;
  // Conversation so far, in chat-completions format.
  nlohmann::json messages_ = nlohmann::json::array();
  ProgramRecord record_;
  std::vector<ProgramRecord> child_records_;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_PROGRAM_RUNNER_H_
