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

// A caller's request to an entry.
struct CallerRequest {
  enum class Kind { kCreate, kCall, kEnd };
  Kind kind = Kind::kCall;
  std::string organisation;
  std::string key;
  // Id of the parent program; empty for none.
  program::ProgramId parent;
  std::int64_t budget = 0;
  std::uint32_t turn = 0;
  bool repeatable = true;
  // The request crashes every backend server that runs it.
  bool crashes = false;
  std::int64_t worst_case = 0;
};

// Response to a caller: an answer or an error.
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
  // Runs alone on its server.
  bool alone = false;
  std::int64_t worst_case = 0;
};

// Response to `execute`.
struct ExecuteReply {
  program::ProgramId program;
  program::AttemptKey key;
  // Refused without having run; if false, `result` is set.
  bool refused = false;
  // Refused because the request names another incarnation of the sidecar.
  bool other_incarnation = false;
  std::string fingerprint;
  // Id of the crash that ended the work, and fingerprints of the requests that
  // were running at that time.
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

// One execution, as a fake backend records it.
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
// The call as the owner admits it. If `intents` is false, no intents are
// recorded and every call counts as repeatable.
program::CallRequest ToCallRequest(const CallerRequest& request, bool intents);
std::string Fingerprint(const CallerRequest& request);
program::CreateRequest ToCreateRequest(const CallerRequest& request);

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_MESSAGES_H_
