#include "change_report.h"

#include "entry_client.h"
#include "vanillalever/config/admin_codec.h"

namespace vanillalever::ctl {
namespace {

// Sign before an object, in the order of DiffAction.
constexpr char kSigns[] = {'+', '~', '-'};

std::string ValueText(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

void PrintFaults(std::ostream& err, const config::ChangeResponse& answer) {
  for (const config::ConfigError& error : answer.errors)
    err << "error: " << config::Describe(error) << "\n";
  for (const config::ObjectId& id : answer.conflicts)
    err << "conflict: " << id.text() << "\n";
  err << "error: " << base::Describe(*answer.error) << "\n";
}

}  // namespace

void PrintDiff(std::ostream& out, const config::Diff& diff) {
  for (const config::ObjectDiff& difference : diff) {
    out << kSigns[static_cast<std::size_t>(difference.action)] << " "
        << difference.id.text() << "\n";
    for (const config::FieldChange& change : difference.fields)
      out << "    " << change.path << ": " << ValueText(change.before) << " -> "
          << ValueText(change.after) << "\n";
  }
}

ExitCode Report(const CommandContext& context,
                const config::ChangeResponse& answer) {
  if (context.settings.output == OutputFormat::kJson)
    context.out << config::AdminCodec::EncodeChangeResponse(answer) << "\n";
  else if (answer.error)
    PrintFaults(context.err, answer);
  else
    PrintDiff(context.out, answer.diff);
  return answer.error ? ExitCodeOf(*answer.error) : ExitCode::kOk;
}

}  // namespace vanillalever::ctl
