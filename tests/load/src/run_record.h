#ifndef VANILLALEVER_LOAD_RUN_RECORD_H_
#define VANILLALEVER_LOAD_RUN_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::load {

// Outcome of a turn as reported to the caller.
enum class TurnOutcome {
  kDone,     // a response was received
  kUnknown,  // a non-repeatable call may or may not have run
  kNotRun,   // rejected as not run until the retry timeout
  kFailed,   // any other error until the retry timeout
};

// One turn from the caller's view.
struct TurnRecord {
  // Reference in the request, unique in the run: "<program key>/<turn>".
  std::string ref;
  bool model = false;
  bool repeatable = true;
  TurnOutcome outcome = TurnOutcome::kFailed;
  // Whether the response is complete and belongs to this request.
  bool response_matches = true;
  // Number of requests sent for the turn.
  int attempts = 0;
  // Time from the first request to the first token; zero without a stream.
  base::Duration first_token{0};
  // Text that identifies the turn's response in the history.
  std::string response_marker{};
};

// One program from the caller's view.
struct ProgramRecord {
  std::string key;
  std::string program_class;
  // Whether the program is a sub-agent.
  bool is_child = false;
  // Whether all turns completed and the end was confirmed.
  bool finished = false;
  // Code of the error that ended the program early; empty if finished.
  std::string error_code;
  // Time from the first request to the confirmed end.
  base::Duration elapsed{0};
  std::vector<TurnRecord> turns;
  // Number of turns missing from the history at the end of the program, and of
  // history entries out of order or with the content of another request.
  int history_missing = 0;
  int history_misordered = 0;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_RUN_RECORD_H_
