#ifndef VANILLALEVER_GUARD_STRIKE_RECORD_H_
#define VANILLALEVER_GUARD_STRIKE_RECORD_H_

#include <set>
#include <string>

namespace vanillalever::guard {

// Strikes of one fingerprint and its right to run alone; stored in the row
// `strike/<fingerprint>`.
struct StrikeRecord {
  // Crashes during which the request was running, identified by the incarnation
  // of the sidecar whose server crashed. Each is one strike; a crash that is
  // reported twice counts once.
  std::set<std::string> crashes;
  // The request is refused.
  bool quarantined = false;
  // Work token of the attempt that may run the suspect alone; empty if none.
  std::string alone_token;
  // Address of the sidecar that the attempt is sent to.
  std::string alone_server;

  bool operator==(const StrikeRecord&) const = default;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_STRIKE_RECORD_H_
