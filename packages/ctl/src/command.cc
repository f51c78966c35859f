#include "command.h"

#include <limits>

#include "change_commands.h"
#include "read_commands.h"

namespace vanillalever::ctl {

const std::vector<Command>& Commands() {
  constexpr std::size_t kAny = std::numeric_limits<std::size_t>::max();
  static const std::vector<Command> commands = {
      {"validate", "PATH...",
       "Checks object files. With --entry they are a change to the entry's "
       "configuration, without it they are a whole configuration.",
       1, kAny, false, &RunValidate},
      {"diff", "PATH...",
       "Shows what applying the files would change in the entry's "
       "configuration, or with --base in other files.",
       1, kAny, false, &RunDiff},
      {"apply", "[PATH...]",
       "Publishes the files and deletions as a new version. Needs --author, "
       "--reason and --base_version.",
       0, kAny, true, &RunApply},
      {"get", "[KIND | KIND/NAME]...",
       "Prints objects of the current version or of --at_version. JSON output "
       "is an object file.",
       0, kAny, true, &RunGet},
      {"history", "[KIND/NAME]...",
       "Prints the audit trail: who changed what, when and why. Operands and "
       "--change_token select versions.",
       0, kAny, true, &RunHistory},
      {"status", "", "Prints the entries and the backend servers.", 0, 0, true,
       &RunStatus},
      {"program show", "ID", "Prints the state of one program.", 1, 1, true,
       &RunProgramShow},
  };
  return commands;
}

}  // namespace vanillalever::ctl
