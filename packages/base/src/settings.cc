#include "vanillalever/base/settings.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <iterator>

#include <gflags/gflags.h>

namespace vanillalever::base {
namespace {

std::string EnvironmentName(const std::string& flag) {
  std::string name = "VANILLALEVER_";
  std::transform(flag.begin(), flag.end(), std::back_inserter(name),
                 [](unsigned char c) { return std::toupper(c); });
  return name;
}

}  // namespace

std::vector<std::string> ApplyEnvironment() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::vector<std::string> messages;
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    std::string variable = EnvironmentName(flag.name);
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr || !flag.is_default)
      continue;
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty())
      messages.push_back("variable " + variable + ": invalid value '" + value +
                         "' for a flag of type " + flag.type);
  }
  return messages;
}

void SettingsCheck::Require(bool ok,
                            const std::string& flag,
                            const std::string& message) {
  if (!ok)
    messages_.push_back("flag --" + flag + ": " + message);
}

void SettingsCheck::Add(std::vector<std::string> messages) {
  std::move(messages.begin(), messages.end(), std::back_inserter(messages_));
}

int SettingsCheck::Report() const {
  for (const std::string& message : messages_)
    std::cerr << "error: " << message << "\n";
  return messages_.empty() ? 0 : kExitBadSettings;
}

}  // namespace vanillalever::base
