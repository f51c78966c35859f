#include "change_commands.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "change_report.h"
#include "entry_client.h"
#include "outcome_reader.h"
#include "vanillalever/base/random.h"
#include "vanillalever/config/admin_codec.h"
#include "vanillalever/ctl/object_files.h"

namespace vanillalever::ctl {
namespace {

using config::AdminCodec;
using config::ChangeResponse;
using config::ChangeSet;
using config::ConfigSet;

// Author and reason of changes that are only validated.
constexpr char kDryRun[] = "dry run";

LoadedObjects LoadOperands(const std::vector<std::string>& operands) {
  return LoadObjects({operands.begin(), operands.end()});
}

ConfigSet MakeSet(std::vector<config::Object> objects) {
  ConfigSet set;
  for (config::Object& object : objects)
    set.Put(std::move(object));
  return set;
}

std::string ValueOr(const std::string& text, const char* fallback) {
  return text.empty() ? fallback : text;
}

// Builds a change set from the objects and the settings; `base` matters only
// with --replace.
ChangeSet MakeChange(const CtlSettings& settings,
                     std::vector<config::Object> objects,
                     const ConfigSet& base) {
  ChangeSet change;
  change.token =
      settings.change_token.empty() ? base::RandomId() : settings.change_token;
  change.author = ValueOr(settings.author, kDryRun);
  change.reason = ValueOr(settings.reason, kDryRun);
  change.remove = settings.remove;
  if (settings.replace) {
    std::set<config::ObjectId> kept(change.remove.begin(), change.remove.end());
    for (const config::Object& object : objects)
      kept.insert(config::IdOf(object));
    for (const config::Object& object : base.Objects()) {
      if (!kept.contains(config::IdOf(object)))
        change.remove.push_back(config::IdOf(object));
    }
  }
  change.put = std::move(objects);
  return change;
}

// Configuration of the entry at --base_version, or the current one.
std::pair<std::int64_t, ConfigSet> FetchBase(const CommandContext& context) {
  config::ConfigResponse response =
      EntryClient(*context.channel).Config(context.settings.base_version);
  return {response.version, MakeSet(std::move(response.objects))};
}

// Response of the entry; throws base::Error if there is none.
ChangeResponse ResponseOrThrow(ChangeOutcome outcome) {
  if (!outcome.response)
    throw base::Error(*outcome.failure);
  return *std::move(outcome.response);
}

ExitCode ReportValidation(const CommandContext& context,
                          const ChangeResponse& response) {
  ExitCode code = Report(context, response);
  if (code == ExitCode::kOk && context.settings.output == OutputFormat::kTable)
    context.err << "valid\n";
  return code;
}

void RequireFlag(const std::string& text, const std::string& flag) {
  if (text.empty())
    throw UsageError("flag --" + flag + ": required by apply");
}

void CheckApplySettings(const CtlSettings& settings,
                        const std::vector<std::string>& operands) {
  RequireFlag(settings.author, "author");
  RequireFlag(settings.reason, "reason");
  // Defaulting to the current version would hide changes made since the
  // operator read the objects.
  if (!settings.base_version)
    throw UsageError(
        "flag --base_version: required by apply; get and diff print it");
  if (operands.empty() && settings.remove.empty())
    throw UsageError("apply needs a path or --delete");
  if (operands.empty() && settings.replace)
    throw UsageError("flag --replace: needs a path");
}

// Determines and reports the outcome of an apply whose response was lost or
// inconclusive.
ExitCode ResolveLostResponse(const CommandContext& context,
                             const ChangeSet& change,
                             const base::ErrorInfo& failure) {
  context.err << "answer lost (" << base::Describe(failure)
              << "); reading the history\n";
  std::optional<config::ConfigVersion> version =
      OutcomeReader(*context.channel, context.settings).Find(change.token);
  if (!version) {
    context.err << "error: outcome unknown: the history does not hold the "
                   "change yet, but the entry may still apply it. Look for it "
                   "with: vanillaleverctl history --change_token="
                << change.token << "\n";
    return ExitCode::kUnknown;
  }
  ChangeResponse response;
  response.version = version->number;
  response.diff = version->diff;
  ExitCode code = Report(context, response);
  context.err << "applied as version " << response.version << "\n";
  return code;
}

}  // namespace

ExitCode RunValidate(const CommandContext& context,
                     const std::vector<std::string>& operands) {
  LoadedObjects loaded = LoadOperands(operands);
  if (!loaded.errors.empty())
    return Report(context, AdminCodec::MakeChangeResponse(loaded.errors, 0));
  if (context.channel == nullptr) {
    config::ConfigErrors errors = MakeSet(std::move(loaded.objects)).Validate();
    return ReportValidation(
        context, errors.empty() ? ChangeResponse()
                                : AdminCodec::MakeChangeResponse(errors, 0));
  }
  auto [version, base] = FetchBase(context);
  ChangeSet change =
      MakeChange(context.settings, std::move(loaded.objects), base);
  change.base_version = version;
  return ReportValidation(
      context, ResponseOrThrow(EntryClient(*context.channel).Validate(change)));
}

ExitCode RunDiff(const CommandContext& context,
                 const std::vector<std::string>& operands) {
  const CtlSettings& settings = context.settings;
  if (settings.base.empty() == (context.channel == nullptr))
    throw UsageError("diff needs either --entry or --base");
  LoadedObjects loaded = LoadOperands(operands);
  std::int64_t version = 0;
  ConfigSet base;
  if (context.channel != nullptr) {
    std::tie(version, base) = FetchBase(context);
  } else {
    LoadedObjects base_objects = LoadObjects({settings.base});
    std::ranges::move(base_objects.errors, std::back_inserter(loaded.errors));
    base = MakeSet(std::move(base_objects.objects));
  }
  if (!loaded.errors.empty())
    return Report(context,
                  AdminCodec::MakeChangeResponse(loaded.errors, version));
  ChangeSet change = MakeChange(settings, std::move(loaded.objects), base);
  if (context.channel != nullptr)
    context.err << "version " << version << "\n";
  return Report(context,
                AdminCodec::MakeChangeResponse(Apply(base, change), version));
}

ExitCode RunApply(const CommandContext& context,
                  const std::vector<std::string>& operands) {
  const CtlSettings& settings = context.settings;
  CheckApplySettings(settings, operands);
  LoadedObjects loaded = LoadOperands(operands);
  if (!loaded.errors.empty())
    return Report(context, AdminCodec::MakeChangeResponse(loaded.errors, 0));
  ConfigSet base;
  if (settings.replace)
    base = FetchBase(context).second;
  ChangeSet change = MakeChange(settings, std::move(loaded.objects), base);
  change.base_version = *settings.base_version;
  ChangeOutcome outcome = EntryClient(*context.channel).Apply(change);
  if (outcome.failure && outcome.failure->ran != base::ExecutionStatus::kNotRun)
    return ResolveLostResponse(context, change, *outcome.failure);
  ChangeResponse response = ResponseOrThrow(std::move(outcome));
  ExitCode code = Report(context, response);
  if (code == ExitCode::kOk)
    context.err << (response.diff.empty()
                        ? "no difference; the objects are in version "
                        : "applied as version ")
                << response.version << "\n";
  return code;
}

}  // namespace vanillalever::ctl
