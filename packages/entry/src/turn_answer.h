#ifndef VANILLALEVER_ENTRY_SRC_TURN_ANSWER_H_
#define VANILLALEVER_ENTRY_SRC_TURN_ANSWER_H_

#include <string>

#include <nlohmann/json.hpp>

#include "entry_context.h"
#include "vanillalever/program/call.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::entry {

// HTTP status and body that a caller receives for an ended turn.
struct TurnAnswer {
  int status = 200;
  std::string body;
};

// Makes the reply for a turn with the given body. The body of a failed or
// unknown turn is an error, which determines the status.
TurnAnswer MakeTurnAnswer(const program::ProgramId& id,
                          const program::TurnRecord& record,
                          const std::string& body);

// A turn as JSON, as shown in the history.
nlohmann::json TurnJson(const program::TurnRecord& record,
                        const std::string& body);

// Body of a turn; read from the object store if it is stored as an object.
// Blocks. Throws kUnavailable if the object cannot be read.
std::string LoadBody(platform::PlatformStore& store,
                     const program::TurnRecord& record);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_TURN_ANSWER_H_
