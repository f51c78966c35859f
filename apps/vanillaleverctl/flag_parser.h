#ifndef VANILLALEVER_APPS_VANILLALEVERCTL_FLAG_PARSER_H_
#define VANILLALEVER_APPS_VANILLALEVERCTL_FLAG_PARSER_H_

#include <string>
#include <vector>

namespace vanillalever::ctl {

// Sets gflags flags from a command line. gflags::ParseCommandLineFlags is not
// used because it ends the process with exit code 1 for an invalid flag, and
// because it accepts flags that the tool does not document.
class FlagParser {
 public:
  // Only the flags that `file` defines are accepted, and "help".
  explicit FlagParser(std::string file);

  // Accepts --name=value, --name value, --name and --noname (boolean flags),
  // and "--" before operands that start with a dash.
  void Parse(const std::vector<std::string>& arguments);

  // Arguments that are not flags.
  const std::vector<std::string>& operands() const { return operands_; }

  // One message per unknown flag and per missing or invalid value.
  const std::vector<std::string>& errors() const { return errors_; }

  // Description of every accepted flag, for the help text.
  std::string Describe() const;

 private:
  bool Accepts(const std::string& name) const;
  bool IsBoolean(const std::string& name) const;
  void Set(const std::string& name, const std::string& value);

  std::string file_;
  std::vector<std::string> operands_;
  std::vector<std::string> errors_;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_APPS_VANILLALEVERCTL_FLAG_PARSER_H_
