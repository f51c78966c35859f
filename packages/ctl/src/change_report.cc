#include "change_report.h"

#include "entry_client.h"
#include "vanillalever/config/admin_codec.h"

namespace vanillalever::ctl {
namespace {

// Sign printed before an object, in the order of DiffAction.
constexpr char kActionSigns[] = {'+', '~', '-'};

std::string ValueText(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

void PrintErrors(std::ostream& err, const config::ChangeResponse& response) {
  for (const config::ConfigError& error : response.errors)
    err << "error: " << config::Describe(error) << "\n";
  for (const config::ObjectId& id : response.conflicts)
    err << "conflict: " << id.text() << "\n";
  err << "error: " << base::Describe(*response.error) << "\n";
}

}  // namespace

void PrintDiff(std::ostream& out, const config::Diff& diff) {
  for (const config::ObjectDiff& difference : diff) {
    out << kActionSigns[static_cast<std::size_t>(difference.action)] << " "
        << difference.id.text() << "\n";
    for (const config::FieldChange& change : difference.fields)
      out << "    " << change.path << ": " << ValueText(change.before) << " -> "
          << ValueText(change.after) << "\n";
  }
}

ExitCode Report(const CommandContext& context,
                const config::ChangeResponse& response) {
  if (context.settings.output == OutputFormat::kJson)
    context.out << config::AdminCodec::EncodeChangeResponse(response) << "\n";
  else if (response.error)
    PrintErrors(context.err, response);
  else
    PrintDiff(context.out, response.diff);
  return response.error ? ExitCodeOf(*response.error) : ExitCode::kOk;
}

}  // namespace vanillalever::ctl
