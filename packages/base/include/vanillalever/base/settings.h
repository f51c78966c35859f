#ifndef VANILLALEVER_BASE_SETTINGS_H_
#define VANILLALEVER_BASE_SETTINGS_H_

#include <string>
#include <vector>

namespace vanillalever::base {

// Exit code of a process whose settings are invalid.
inline constexpr int kExitBadSettings = 2;

// Sets every gflags flag that is absent from the command line from the
// environment variable VANILLALEVER_<FLAG IN UPPER CASE>. Call after
// gflags::ParseCommandLineFlags. Returns one message per value that gflags
// rejected.
std::vector<std::string> ApplyEnvironment();

// Collects error messages about invalid settings.
class SettingsCheck {
 public:
  // Adds "flag --<name>: <message>" if `ok` is false.
  void Require(bool ok, const std::string& flag, const std::string& message);
  void Add(std::vector<std::string> messages);

  const std::vector<std::string>& messages() const { return messages_; }

  // Prints all messages to standard error. Returns kExitBadSettings if there
  // are any, otherwise zero.
  int Report() const;

 private:
  std::vector<std::string> messages_;
};

}  // namespace vanillalever::base

#endif  // VANILLALEVER_BASE_SETTINGS_H_
