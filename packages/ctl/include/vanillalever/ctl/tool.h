#ifndef VANILLALEVER_CTL_TOOL_H_
#define VANILLALEVER_CTL_TOOL_H_

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "vanillalever/ctl/admin_channel.h"
#include "vanillalever/ctl/ctl_settings.h"
#include "vanillalever/ctl/exit_code.h"

namespace vanillalever::ctl {

// Runs one command of vanillaleverctl.
class Tool {
 public:
  // `channel` connects to the entry; nullptr to work on files only. Results are
  // written to `out`, errors to `err`.
  Tool(CtlSettings settings,
       std::unique_ptr<AdminChannel> channel,
       std::ostream& out,
       std::ostream& err);

  // `arguments` are the words of the command's name, then its operands.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  // Prints a usage error.
  ExitCode ReportUsageError(const std::string& message);

  CtlSettings settings_;
  std::unique_ptr<AdminChannel> channel_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_TOOL_H_
