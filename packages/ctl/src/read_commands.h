#ifndef VANILLALEVER_CTL_READ_COMMANDS_H_
#define VANILLALEVER_CTL_READ_COMMANDS_H_

#include <string>
#include <vector>

#include "command.h"

namespace vanillalever::ctl {

// Commands that read the state of an entry.
ExitCode RunGet(const CommandContext& context,
                const std::vector<std::string>& operands);
ExitCode RunHistory(const CommandContext& context,
                    const std::vector<std::string>& operands);
ExitCode RunStatus(const CommandContext& context,
                   const std::vector<std::string>& operands);
ExitCode RunProgramShow(const CommandContext& context,
                        const std::vector<std::string>& operands);

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_READ_COMMANDS_H_
