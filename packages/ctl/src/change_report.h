#ifndef VANILLALEVER_CTL_CHANGE_REPORT_H_
#define VANILLALEVER_CTL_CHANGE_REPORT_H_

#include <ostream>

#include "command.h"
#include "vanillalever/config/admin_codec.h"

namespace vanillalever::ctl {

// Prints a response and returns its exit code. In table format, an accepted
// change is printed as its differences, a rejected one as its errors on the
// error stream.
ExitCode Report(const CommandContext& context,
                const config::ChangeResponse& response);

// Prints differences, one object or field per line.
void PrintDiff(std::ostream& out, const config::Diff& diff);

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_CHANGE_REPORT_H_
