#include "vanillalever/program/call.h"

#include "vanillalever/base/error.h"

namespace vanillalever::program {

void CheckRepeat(const CallRequest& call, const TurnRecord& record) {
  if (call.turn == record.turn && call.fingerprint == record.fingerprint)
    return;
  throw base::NotRunError(
      base::ErrorCode::kTurnConflict, base::Step::kAdmit,
      "turn " + std::to_string(call.turn) + " was used by another request");
}

}  // namespace vanillalever::program
