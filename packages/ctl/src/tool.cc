#include "vanillalever/ctl/tool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "command.h"
#include "entry_client.h"
#include "vanillalever/base/error.h"
#include "vanillalever/ctl/object_files.h"

namespace vanillalever::ctl {
namespace {

// Splits a command's name into words.
std::vector<std::string> SplitWords(std::string_view name) {
  std::vector<std::string> words;
  std::size_t begin = 0;
  while (begin <= name.size()) {
    std::size_t end = std::min(name.find(' ', begin), name.size());
    words.emplace_back(name.substr(begin, end - begin));
    begin = end + 1;
  }
  return words;
}

const Command* FindCommand(const std::vector<std::string>& arguments) {
  for (const Command& command : Commands()) {
    std::vector<std::string> words = SplitWords(command.name);
    if (arguments.size() >= words.size() &&
        std::equal(words.begin(), words.end(), arguments.begin()))
      return &command;
  }
  return nullptr;
}

}  // namespace

Tool::Tool(CtlSettings settings,
           std::unique_ptr<AdminChannel> channel,
           std::ostream& out,
           std::ostream& err)
    : settings_(std::move(settings)),
      channel_(std::move(channel)),
      out_(out),
      err_(err) {}

ExitCode Tool::Run(const std::vector<std::string>& arguments) {
  if (arguments.empty())
    return ReportUsageError("no command given");
  const Command* command = FindCommand(arguments);
  if (command == nullptr)
    return ReportUsageError("unknown command '" + arguments.front() + "'");
  std::vector<std::string> operands(
      std::next(arguments.begin(), std::ssize(SplitWords(command->name))),
      arguments.end());
  std::string usage =
      std::string(command->name) + " " + std::string(command->operands);
  if (operands.size() < command->min_operands ||
      operands.size() > command->max_operands)
    return ReportUsageError("wrong number of operands, expected: " + usage);
  if (command->needs_entry && channel_ == nullptr)
    return ReportUsageError("flag --entry: required by " +
                            std::string(command->name));
  CommandContext context{settings_, channel_.get(), out_, err_};
  try {
    return command->run(context, operands);
  } catch (const UsageError& error) {
    return ReportUsageError(error.what());
  } catch (const FileError& error) {
    return ReportUsageError(error.what());
  } catch (const base::Error& error) {
    err_ << "error: " << error.what() << "\n";
    return ExitCodeOf(error.info());
  }
}

ExitCode Tool::ReportUsageError(const std::string& message) {
  err_ << "error: " << message << "\nSee vanillaleverctl --help.\n";
  return ExitCode::kUsage;
}

}  // namespace vanillalever::ctl
