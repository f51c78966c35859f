#ifndef VANILLALEVER_CTL_CHANGE_COMMANDS_H_
#define VANILLALEVER_CTL_CHANGE_COMMANDS_H_

#include <string>
#include <vector>

#include "command.h"

namespace vanillalever::ctl {

// Commands that work on object files.
ExitCode RunValidate(const CommandContext& context,
                     const std::vector<std::string>& operands);
ExitCode RunDiff(const CommandContext& context,
                 const std::vector<std::string>& operands);
ExitCode RunApply(const CommandContext& context,
                  const std::vector<std::string>& operands);

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_CHANGE_COMMANDS_H_
