#ifndef VANILLALEVER_ENTRY_SRC_TURN_ANSWER_H_
#define VANILLALEVER_ENTRY_SRC_TURN_ANSWER_H_

#include <string>

#include <nlohmann/json.hpp>

#include "entry_context.h"
#include "vanillalever/program/call.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::entry {

// What a caller receives for an ended turn.
struct TurnAnswer {
  int status = 200;
  std::string body;
};

// Answer of a turn whose body is `body`. A failed or unknown turn carries an
// error body, which decides the status.
TurnAnswer MakeTurnAnswer(const program::ProgramId& id,
                          const program::TurnRecord& record,
                          const std::string& body);

// One turn of the history as JSON.
nlohmann::json TurnJson(const program::TurnRecord& record,
                        const std::string& body);

// Body of a turn, read from the object store where it is an object. Blocks.
// Throws kUnavailable when the object cannot be read.
std::string LoadBody(platform::PlatformStore& store,
                     const program::TurnRecord& record);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_TURN_ANSWER_H_
