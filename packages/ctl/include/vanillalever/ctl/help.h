#ifndef VANILLALEVER_CTL_HELP_H_
#define VANILLALEVER_CTL_HELP_H_

#include <string>

namespace vanillalever::ctl {

// Commands and exit codes, for --help. The flags are listed by the program that
// defines them.
std::string HelpText();

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_HELP_H_
