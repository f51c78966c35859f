#ifndef VANILLALEVER_CTL_COMMAND_H_
#define VANILLALEVER_CTL_COMMAND_H_

#include <cstddef>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/ctl/admin_channel.h"
#include "vanillalever/ctl/ctl_settings.h"
#include "vanillalever/ctl/exit_code.h"

namespace vanillalever::ctl {

// Context in which a command runs.
struct CommandContext {
  const CtlSettings& settings;
  // nullptr without --entry.
  AdminChannel* channel;
  std::ostream& out;
  std::ostream& err;
};

// One command of the tool.
struct Command {
  // Name, possibly of several words, such as "program show".
  std::string_view name;
  // Operands, as shown in the help text.
  std::string_view operands;
  std::string_view description;
  std::size_t min_operands;
  std::size_t max_operands;
  // Whether the command requires --entry.
  bool needs_entry;
  ExitCode (*run)(const CommandContext& context,
                  const std::vector<std::string>& operands);
};

// All commands, in the order of the help text.
const std::vector<Command>& Commands();

// Incorrect use of a command; results in ExitCode::kUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_COMMAND_H_
