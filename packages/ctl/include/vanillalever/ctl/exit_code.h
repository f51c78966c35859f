#ifndef VANILLALEVER_CTL_EXIT_CODE_H_
#define VANILLALEVER_CTL_EXIT_CODE_H_

namespace vanillalever::ctl {

// Exit codes of vanillaleverctl, documented in its help text.
enum class ExitCode {
  kOk = 0,        // done, or the input is valid
  kRejected = 1,  // invalid input, or rejected by the entry
  kUsage = 2,     // bad usage, settings or unreadable file
  kConflict = 3,  // a concurrent change conflicts
  kUnknown = 4,   // entry unreachable or unavailable, or outcome unknown
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_EXIT_CODE_H_
