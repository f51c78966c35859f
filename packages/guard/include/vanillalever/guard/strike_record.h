#ifndef VANILLALEVER_GUARD_STRIKE_RECORD_H_
#define VANILLALEVER_GUARD_STRIKE_RECORD_H_

#include <set>
#include <string>

namespace vanillalever::guard {

// What is known against one fingerprint; content of the row
// `strike/<fingerprint>`.
struct StrikeRecord {
  // Crashes at which the request was running, by the incarnation of the sidecar
  // whose server died. Their number is the number of strikes; a crash that is
  // reported twice counts once.
  std::set<std::string> crashes;
  // Whether the request is refused.
  bool quarantined = false;
  // Work token of the attempt that may run the suspect alone; empty for none.
  std::string alone_token;
  // Address of the sidecar at which it runs.
  std::string alone_server;

  bool operator==(const StrikeRecord&) const = default;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_STRIKE_RECORD_H_
