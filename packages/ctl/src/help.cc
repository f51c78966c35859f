#include "vanillalever/ctl/help.h"

#include "command.h"

namespace vanillalever::ctl {

std::string HelpText() {
  std::string text =
      "Usage: vanillaleverctl [flags] COMMAND [operands]\n"
      "\n"
      "Declares and revises the objects that control vanillalever.\n"
      "A PATH is a JSON file of one object or an array of objects, or a folder "
      "whose *.json files are read.\n"
      "\n"
      "Commands:\n";
  for (const Command& command : Commands()) {
    text.append("  ").append(command.name);
    if (!command.operands.empty())
      text.append(" ").append(command.operands);
    text.append("\n      ").append(command.description).append("\n");
  }
  return text +
         "\n"
         "Exit codes:\n"
         "  0  done, or the input is valid\n"
         "  1  the input is invalid, or the entry refused the request\n"
         "  2  bad usage or settings, or a file that cannot be read\n"
         "  3  a concurrent change conflicts; the objects are named\n"
         "  4  the entry is unreachable or unavailable, or the outcome of an "
         "apply is unknown\n";
}

}  // namespace vanillalever::ctl
