#ifndef VANILLALEVER_TESTS_FAULTMATRIX_MESSAGES_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "simulator.h"
#include "vanillalever/base/error.h"
#include "vanillalever/execution/work_ledger.h"
#include "vanillalever/program/program.h"
#include "vanillalever/program/program_shard.h"

namespace vanillalever::faultmatrix {

// What a caller asks an entry for.
struct CallerRequest {
  enum class Kind { kCreate, kCall, kEnd };
  Kind kind = Kind::kCall;
  std::string organisation;
  std::string key;
  // The parent's program id; empty for none.
  program::ProgramId parent;
  std::int64_t budget = 0;
  std::uint32_t turn = 0;
  bool repeatable = true;
  // The request ends each backend server that runs it.
  bool crashes = false;
  std::int64_t worst_case = 0;
};

// What the caller receives: an answer, or an error.
struct CallerReply {
  bool ok = false;
  program::Answer answer;
  base::ErrorInfo error;
};

// entry -> sidecar `execute`.
struct ExecuteRequest {
  program::ProgramId program;
  std::string program_incarnation;
  std::uint64_t fence = 0;
  program::AttemptKey key;
  std::string sidecar_incarnation;
  bool repeatable = true;
  bool crashes = false;
  std::string fingerprint;
  // Runs with nothing else on its server.
  bool alone = false;
  std::int64_t worst_case = 0;
};

// Response to `execute`.
struct ExecuteReply {
  program::ProgramId program;
  program::AttemptKey key;
  // Refused without having run; otherwise `result` is set.
  bool refused = false;
  // Refused because the command names another run of the sidecar.
  bool other_incarnation = false;
  std::string fingerprint;
  // Name of the crash that ended the work, and what was running at that time.
  std::string crash;
  std::vector<std::string> running;
  execution::WorkResult result;
};

// entry -> sidecar `settle`, and its response.
struct SettleReply {
  execution::Settlement settlement = execution::Settlement::kRunning;
  execution::WorkResult result;
};

// Response to `report`.
struct ReportReply {
  std::string incarnation;
  bool leaving = false;
};

// One execution by a fake backend: its ledger.
struct Execution {
  std::string program;
  std::uint32_t turn = 0;
  bool repeatable = true;
  std::string token;
  std::string server;
  TimePoint started;
  TimePoint ended;
  std::int64_t cost = 0;
  std::string answer;
};

CallerReply ErrorReply(base::ErrorCode code,
                       base::ExecutionStatus ran,
                       const std::string& message);
CallerReply ErrorReply(const base::Error& error);
CallerReply AnswerReply(const program::Answer& answer);
// The call as the owner admits it. Without intents it treats every call as one
// that may be repeated.
program::CallRequest ToCall(const CallerRequest& request, bool intents);
std::string Fingerprint(const CallerRequest& request);
program::CreateRequest ToCreate(const CallerRequest& request);

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_MESSAGES_H_
