#ifndef VANILLALEVER_LOAD_RUN_RECORD_H_
#define VANILLALEVER_LOAD_RUN_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::load {

// How a turn ended, as told to the caller.
enum class TurnOutcome {
  kDone,     // answered
  kUnknown,  // a non-repeatable call may or may not have run
  kNotRun,   // refused as not run until the caller gave up
  kFailed,   // any other error until the caller gave up
};

// One turn as its caller saw it.
struct TurnRecord {
  // Reference in the request, unique in the run: "<program key>/<turn>".
  std::string ref;
  bool model = false;
  bool repeatable = true;
  TurnOutcome outcome = TurnOutcome::kFailed;
  // Whether the answer is complete and belongs to this request.
  bool own_answer = true;
  // Number of requests sent for the turn.
  int attempts = 0;
  // Time from the first request to the first token; zero without a stream.
  base::Duration first_token{0};
  // Text that identifies the turn's answer in the history.
  std::string mark{};
};

// One program as its caller saw it.
struct ProgramRecord {
  std::string key;
  std::string program_class;
  // Sub-agents have a parent.
  bool is_child = false;
  // Whether all turns ended and the end was confirmed.
  bool finished = false;
  // Code of the error that ended the program early; empty if finished.
  std::string error_code;
  // Time from the first request to the confirmed end.
  base::Duration elapsed{0};
  std::vector<TurnRecord> turns;
  // Turns that the system's history lacks, or lists out of order or with
  // another program's content, at the end of the program.
  int history_missing = 0;
  int history_misordered = 0;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_RUN_RECORD_H_
