#include "read_commands.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <set>

#include <nlohmann/json.hpp>

#include "entry_client.h"
#include "text_table.h"
#include "vanillalever/config/object_codec.h"

namespace vanillalever::ctl {
namespace {

bool IsJson(const CommandContext& context) {
  return context.settings.output == OutputFormat::kJson;
}

std::string FormatInteger(std::int64_t value) {
  return std::to_string(value);
}

std::string FormatDecimal(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

// Objects selected by the operands of `get`.
class Selection {
 public:
  explicit Selection(const std::vector<std::string>& operands) {
    for (const std::string& operand : operands)
      Add(operand);
  }

  bool Matches(const config::ObjectId& id) const {
    return (kinds_.empty() && ids_.empty()) || kinds_.contains(id.kind) ||
           ids_.contains(id);
  }

  // Selected objects that are not in `present`.
  std::vector<config::ObjectId> Missing(
      const std::set<config::ObjectId>& present) const {
    std::vector<config::ObjectId> missing;
    std::ranges::set_difference(ids_, present, std::back_inserter(missing));
    return missing;
  }

 private:
  void Add(const std::string& operand) {
    if (auto id = config::ParseObjectId(operand))
      ids_.insert(*id);
    else if (auto kind = config::kKindNames.value(operand))
      kinds_.insert(*kind);
    else
      throw UsageError("'" + operand +
                       "' is neither kind/name nor a kind; kinds are " +
                       config::kKindNames.joined());
  }

  std::set<config::Kind> kinds_;
  std::set<config::ObjectId> ids_;
};

// Prints one object per line, as a JSON array that is a valid object file.
void PrintObjects(std::ostream& out,
                  const std::vector<config::Object>& objects) {
  out << "[";
  const char* separator = "\n";
  for (const config::Object& object : objects) {
    out << separator << config::EncodeObject(object);
    separator = ",\n";
  }
  out << "\n]\n";
}

// Fields of an object without its kind and name, for the table.
std::string FieldsSummary(const config::Object& object) {
  auto value = nlohmann::json::parse(config::EncodeObject(object));
  value.erase("kind");
  value.erase("name");
  std::string text;
  for (const auto& [name, field] : value.items())
    text.append(text.empty() ? "" : " ")
        .append(name)
        .append("=")
        .append(field.dump());
  return text;
}

bool ChangesAny(const config::ConfigVersion& version,
                const std::set<config::ObjectId>& ids) {
  return ids.empty() ||
         std::ranges::any_of(version.diff, [&ids](const auto& difference) {
           return ids.contains(difference.id);
         });
}

std::string DiffSummary(const config::Diff& diff) {
  std::string text;
  for (const config::ObjectDiff& difference : diff)
    text.append(text.empty() ? "" : ", ")
        .append(config::kDiffActionNames.name(difference.action))
        .append(" ")
        .append(difference.id.text());
  return text;
}

void PrintEntries(std::ostream& out, const config::AdminStatus& status) {
  TextTable table({"ENTRY", "ADDRESS", "DATA CENTRE", "SHARDS", "PROGRAMS",
                   "VERSION", "STATE"});
  for (const config::EntryStatus& entry : status.entries)
    table.Add({entry.incarnation, entry.address, entry.data_centre,
               FormatInteger(entry.shards), FormatInteger(entry.programs),
               FormatInteger(entry.config_version),
               entry.leaving ? "leaving" : "live"});
  table.Print(out);
}

void PrintServers(std::ostream& out, const config::AdminStatus& status) {
  TextTable table({"POOL", "ADDRESS", "DATA CENTRE", "STATE", "VERSION",
                   "BACKLOG TOKENS", "RUNNING", "QUEUED", "SLOWNESS",
                   "REPORT AGE MS"});
  for (const config::ServerStatus& server : status.servers)
    table.Add({server.pool, server.address, server.data_centre, server.state,
               FormatInteger(server.config_version),
               FormatInteger(server.backlog_tokens),
               FormatInteger(server.running), FormatInteger(server.queued),
               FormatDecimal(server.slowness),
               FormatInteger(server.report_age.count())});
  table.Print(out);
}

// Prints every scalar in `value` with its path.
void PrintFields(std::ostream& out,
                 const std::string& path,
                 const nlohmann::json& value) {
  if (!value.is_structured() || value.empty()) {
    out << path << ": "
        << (value.is_string() ? value.get<std::string>() : value.dump())
        << "\n";
    return;
  }
  for (const auto& [name, field] : value.items()) {
    std::string field_path = path;
    if (value.is_array())
      field_path.append("[").append(name).append("]");
    else
      field_path.append(path.empty() ? "" : ".").append(name);
    PrintFields(out, field_path, field);
  }
}

}  // namespace

ExitCode RunGet(const CommandContext& context,
                const std::vector<std::string>& operands) {
  Selection selection(operands);
  config::ConfigResponse response =
      EntryClient(*context.channel).Config(context.settings.at_version);
  std::vector<config::Object> objects;
  std::set<config::ObjectId> present;
  for (const config::Object& object : response.objects) {
    if (!selection.Matches(config::IdOf(object)))
      continue;
    objects.push_back(object);
    present.insert(config::IdOf(object));
  }
  // The version goes to the error stream so that the output is a valid object
  // file.
  context.err << "version " << response.version << "\n";
  if (IsJson(context)) {
    PrintObjects(context.out, objects);
  } else {
    TextTable table({"OBJECT", "FIELDS"});
    for (const config::Object& object : objects)
      table.Add({config::IdOf(object).text(), FieldsSummary(object)});
    table.Print(context.out);
  }
  std::vector<config::ObjectId> missing = selection.Missing(present);
  for (const config::ObjectId& id : missing)
    context.err << "error: there is no " << id.text() << "\n";
  return missing.empty() ? ExitCode::kOk : ExitCode::kRejected;
}

ExitCode RunHistory(const CommandContext& context,
                    const std::vector<std::string>& operands) {
  std::set<config::ObjectId> ids;
  for (const std::string& operand : operands) {
    auto id = config::ParseObjectId(operand);
    if (!id)
      throw UsageError("'" + operand + "' is not of the form kind/name");
    ids.insert(*id);
  }
  const std::string& token = context.settings.change_token;
  std::vector<config::ConfigVersion> versions =
      EntryClient(*context.channel).History();
  std::erase_if(versions, [&](const config::ConfigVersion& version) {
    return !ChangesAny(version, ids) ||
           (!token.empty() && version.token != token);
  });
  if (IsJson(context)) {
    context.out << config::AdminCodec::EncodeHistory(versions) << "\n";
  } else {
    TextTable table({"VERSION", "TIME", "AUTHOR", "REASON", "CHANGES"});
    for (const config::ConfigVersion& version : versions)
      table.Add({FormatInteger(version.number), version.time, version.author,
                 version.reason, DiffSummary(version.diff)});
    table.Print(context.out);
  }
  bool missing = !token.empty() && versions.empty();
  if (missing)
    context.err << "error: no version has the change token " << token << "\n";
  return missing ? ExitCode::kRejected : ExitCode::kOk;
}

ExitCode RunStatus(const CommandContext& context,
                   const std::vector<std::string>& /*operands*/) {
  config::AdminStatus status = EntryClient(*context.channel).Status();
  if (IsJson(context)) {
    context.out << config::AdminCodec::EncodeStatus(status) << "\n";
    return ExitCode::kOk;
  }
  context.out << "configuration version " << status.version << "\n\n";
  PrintEntries(context.out, status);
  context.out << "\n";
  PrintServers(context.out, status);
  return ExitCode::kOk;
}

ExitCode RunProgramShow(const CommandContext& context,
                        const std::vector<std::string>& operands) {
  const std::string& id = operands.front();
  if (!config::IsName(id))
    throw UsageError("'" + id + "' is not a program id");
  std::string text = EntryClient(*context.channel).Program(id);
  if (IsJson(context)) {
    context.out << text << "\n";
    return ExitCode::kOk;
  }
  auto value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded())
    throw base::NotRunError(base::ErrorCode::kUnavailable, base::Step::kParse,
                            "the answer is not JSON");
  PrintFields(context.out, "", value);
  return ExitCode::kOk;
}

}  // namespace vanillalever::ctl
