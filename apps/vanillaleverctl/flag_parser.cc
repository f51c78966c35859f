#include "flag_parser.h"

#include <cstddef>
#include <utility>

#include <gflags/gflags.h>

namespace vanillalever::ctl {

FlagParser::FlagParser(std::string file) : file_(std::move(file)) {}

void FlagParser::Parse(const std::vector<std::string>& arguments) {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument == "--") {
      operands_.insert(operands_.end(),
                       arguments.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                       arguments.end());
      return;
    }
    if (argument.size() < 2 || argument.front() != '-') {
      operands_.push_back(argument);
      continue;
    }
    std::string text = argument.substr(argument[1] == '-' ? 2 : 1);
    std::size_t equals = text.find('=');
    std::string name = text.substr(0, equals);
    if (equals != std::string::npos)
      Set(name, text.substr(equals + 1));
    else if (!Accepts(name) && name.starts_with("no") &&
             IsBoolean(name.substr(2)))
      Set(name.substr(2), "false");
    else if (!Accepts(name) || IsBoolean(name))
      Set(name, "true");
    else if (i + 1 < arguments.size())
      Set(name, arguments[++i]);
    else
      errors_.push_back("flag --" + name + ": needs a value");
  }
}

std::string FlagParser::Describe() const {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::string text;
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    if (!Accepts(flag.name) || flag.name == "help")
      continue;
    text.append("  --").append(flag.name).append(" (").append(flag.type);
    if (!flag.default_value.empty())
      text.append(", default ").append(flag.default_value);
    text.append(")\n      ").append(flag.description).append("\n");
  }
  return text;
}

bool FlagParser::Accepts(const std::string& name) const {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(name.c_str(), &info) &&
         (info.filename == file_ || name == "help");
}

bool FlagParser::IsBoolean(const std::string& name) const {
  gflags::CommandLineFlagInfo info;
  return Accepts(name) && gflags::GetCommandLineFlagInfo(name.c_str(), &info) &&
         info.type == "bool";
}

void FlagParser::Set(const std::string& name, const std::string& value) {
  if (!Accepts(name))
    errors_.push_back("flag --" + name + ": unknown flag");
  else if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
    errors_.push_back("flag --" + name + ": invalid value '" + value + "'");
}

}  // namespace vanillalever::ctl
