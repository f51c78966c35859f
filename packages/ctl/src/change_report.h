#ifndef VANILLALEVER_CTL_CHANGE_REPORT_H_
#define VANILLALEVER_CTL_CHANGE_REPORT_H_

#include <ostream>

#include "command.h"
#include "vanillalever/config/admin_codec.h"

namespace vanillalever::ctl {

// Prints an answer and returns its exit code. In table form an accepted change
// is printed as its differences, a refused one as its faults on the error
// stream.
ExitCode Report(const CommandContext& context,
                const config::ChangeResponse& response);

// Prints differences, one object or field a line.
void PrintDiff(std::ostream& out, const config::Diff& diff);

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_CHANGE_REPORT_H_
