#include "vanillalever/config/admin_codec.h"

#include <utility>

#include "message_reader.h"
#include "object_json.h"

namespace vanillalever::config {
namespace {

constexpr char kChange[] = "change";

json WriteError(const base::ErrorInfo& error) {
  return {{"code", base::kErrorCodeNames.name(error.code)},
          {"message", error.message},
          {"step", base::kStepNames.name(error.step)},
          {"peer", error.peer},
          {"ran", base::kExecutionStatusNames.name(error.ran)},
          {"retry_after_ms", error.retry_after.count()}};
}

base::ErrorInfo ReadError(const json& value) {
  MessageReader reader(value, "error");
  base::ErrorInfo error;
  error.message = reader.String("message");
  error.peer = reader.OptionalString("peer");
  // Unknown names from a later release are mapped to defaults.
  error.code = base::kErrorCodeNames.value(reader.String("code"))
                   .value_or(base::ErrorCode::kInternal);
  error.step = base::kStepNames.value(reader.OptionalString("step"))
                   .value_or(base::Step::kParse);
  error.ran = base::kExecutionStatusNames.value(reader.OptionalString("ran"))
                  .value_or(base::ExecutionStatus::kUnknown);
  if (reader.Has("retry_after_ms"))
    error.retry_after = reader.Milliseconds("retry_after_ms");
  return error;
}

json WriteIds(const std::vector<ObjectId>& ids) {
  json array = json::array();
  for (const ObjectId& id : ids)
    array.push_back(id.text());
  return array;
}

// Reads the fields of a change request and collects all errors.
class ChangeReader {
 public:
  ChangeReader(const json& value, DecodedChange& decoded)
      : value_(value), decoded_(decoded) {}

  void Run() {
    ChangeSet& change = decoded_.change;
    ReadBaseVersion();
    ReadString("token", change.token);
    ReadString("author", change.author);
    ReadString("reason", change.reason);
    if (value_.contains("put"))
      ReadObjects(value_["put"], "put", change.put, decoded_.errors);
    if (value_.contains("delete"))
      ReadDelete(value_["delete"]);
    RejectUnknownFields();
  }

 private:
  void AddError(const std::string& field, std::string expected) {
    decoded_.errors.push_back({kChange, field, std::move(expected)});
  }

  void ReadBaseVersion() {
    auto found = value_.find("base_version");
    if (found == value_.end())
      AddError("base_version", "this field, found none");
    else if (!found->is_number_unsigned() ||
             found->get<std::uint64_t>() > std::uint64_t{INT64_MAX})
      AddError("base_version",
               "an integer from 0, found " + DescribeValue(*found));
    else
      decoded_.change.base_version = found->get<std::int64_t>();
  }

  void ReadString(const char* field, std::string& target) {
    auto found = value_.find(field);
    if (found == value_.end())
      AddError(field, "this field, found none");
    else if (!found->is_string() || found->get<std::string>().empty())
      AddError(field, "a text, found " + DescribeValue(*found));
    else
      target = found->get<std::string>();
  }

  void ReadDelete(const json& list) {
    if (!list.is_array()) {
      AddError("delete", "a list of kind/name, found " + DescribeValue(list));
      return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
      std::optional<ObjectId> id;
      if (list[i].is_string())
        id = ParseObjectId(list[i].get_ref<const std::string&>());
      if (id)
        decoded_.change.remove.push_back(*id);
      else
        AddError("delete[" + std::to_string(i) + "]",
                 "kind/name with a kind of " + kKindNames.joined() +
                     ", found " + DescribeValue(list[i]));
    }
  }

  void RejectUnknownFields() {
    constexpr std::string_view kKnownFields =
        "base_version, token, author, reason, put, delete";
    for (const auto& [name, unused] : value_.items()) {
      if ((", " + std::string(kKnownFields) + ",").find(", " + name + ",") ==
          std::string::npos)
        AddError(name, "no such field; known are " + std::string(kKnownFields));
    }
  }

  const json& value_;
  DecodedChange& decoded_;
};

json WriteEntry(const EntryStatus& entry) {
  return {{"incarnation", entry.incarnation},
          {"address", entry.address},
          {"data_centre", entry.data_centre},
          {"shards", entry.shards},
          {"programs", entry.programs},
          {"config_version", entry.config_version},
          {"leaving", entry.leaving}};
}

EntryStatus ReadEntry(const json& value) {
  MessageReader reader(value, "status.entries");
  return {reader.String("incarnation"), reader.String("address"),
          reader.String("data_centre"), reader.Integer("shards"),
          reader.Integer("programs"),   reader.Integer("config_version"),
          reader.Bool("leaving")};
}

json WriteServer(const ServerStatus& server) {
  return {{"pool", server.pool},
          {"address", server.address},
          {"data_centre", server.data_centre},
          {"incarnation", server.incarnation},
          {"state", server.state},
          {"config_version", server.config_version},
          {"backlog_tokens", server.backlog_tokens},
          {"running", server.running},
          {"queued", server.queued},
          {"slowness", server.slowness},
          {"report_age_ms", server.report_age.count()}};
}

ServerStatus ReadServer(const json& value) {
  MessageReader reader(value, "status.servers");
  ServerStatus server;
  server.pool = reader.String("pool");
  server.address = reader.String("address");
  server.data_centre = reader.String("data_centre");
  server.incarnation = reader.String("incarnation");
  server.state = reader.String("state");
  server.config_version = reader.Integer("config_version");
  server.backlog_tokens = reader.Integer("backlog_tokens");
  server.running = reader.Integer("running");
  server.queued = reader.Integer("queued");
  server.slowness = reader.Number("slowness");
  server.report_age = reader.Milliseconds("report_age_ms");
  return server;
}

}  // namespace

std::string AdminCodec::EncodeChange(const ChangeSet& change) {
  json put = json::array();
  for (const Object& object : change.put)
    put.push_back(WriteObject(object));
  return Dump({{"base_version", change.base_version},
               {"token", change.token},
               {"author", change.author},
               {"reason", change.reason},
               {"put", std::move(put)},
               {"delete", WriteIds(change.remove)}});
}

DecodedChange AdminCodec::DecodeChange(std::string_view text) {
  DecodedChange decoded;
  std::optional<json> value = ParseDocument(text, kChange, decoded.errors);
  if (!value)
    return decoded;
  if (!value->is_object()) {
    decoded.errors.push_back(
        {kChange, "", "a JSON object, found " + DescribeValue(*value)});
    return decoded;
  }
  ChangeReader(*value, decoded).Run();
  return decoded;
}

ChangeResponse AdminCodec::MakeChangeResponse(const ChangeResult& result,
                                              std::int64_t version) {
  ChangeResponse response;
  response.version = version;
  if (result.accepted()) {
    response.diff = result.diff;
    return response;
  }
  response = MakeChangeResponse(result.errors, version);
  response.conflicts = result.conflicts;
  if (result.conflicts.empty())
    return response;
  response.error =
      base::NotRunError(base::ErrorCode::kConflict, base::Step::kConfigure,
                        "objects that conflict with a concurrent change: " +
                            std::to_string(result.conflicts.size()))
          .info();
  return response;
}

ChangeResponse AdminCodec::MakeChangeResponse(const ConfigErrors& errors,
                                              std::int64_t version) {
  ChangeResponse response;
  response.version = version;
  response.errors = errors;
  response.error =
      base::NotRunError(
          base::ErrorCode::kInvalidRequest, base::Step::kConfigure,
          "faults in the objects: " + std::to_string(errors.size()))
          .info();
  return response;
}

std::string AdminCodec::EncodeChangeResponse(const ChangeResponse& response) {
  json value = {{"version", response.version},
                {"diff", WriteDiff(response.diff)}};
  if (response.error) {
    value["error"] = WriteError(*response.error);
    value["errors"] = WriteErrors(response.errors);
    value["conflicts"] = WriteIds(response.conflicts);
  }
  return Dump(value);
}

ChangeResponse AdminCodec::DecodeChangeResponse(std::string_view text) {
  const std::string source = "answer";
  json value = ParseMessage(text, source);
  MessageReader reader(value, source);
  ChangeResponse response;
  if (reader.Has("error"))
    response.error = ReadError(reader.Field("error"));
  // An error from another layer, such as authentication, has no other fields.
  if (!response.error || reader.Has("version"))
    response.version = reader.Integer("version");
  if (reader.Has("diff"))
    response.diff = ReadDiff(reader.Array("diff"), source);
  if (reader.Has("errors"))
    response.errors = ReadErrors(reader.Array("errors"), source);
  if (!reader.Has("conflicts"))
    return response;
  for (const json& item : reader.Array("conflicts")) {
    std::optional<ObjectId> id;
    if (item.is_string())
      id = ParseObjectId(item.get_ref<const std::string&>());
    if (!id)
      reader.ThrowError("conflicts", "kind/name, found " + DescribeValue(item));
    response.conflicts.push_back(*id);
  }
  return response;
}

std::string AdminCodec::EncodeConfig(std::int64_t version,
                                     const ConfigSet& set) {
  json objects = json::array();
  for (const Object& object : set.Objects())
    objects.push_back(WriteObject(object));
  return Dump({{"version", version}, {"objects", std::move(objects)}});
}

ConfigResponse AdminCodec::DecodeConfig(std::string_view text) {
  const std::string source = "config";
  json value = ParseMessage(text, source);
  MessageReader reader(value, source);
  return {reader.Integer("version"),
          ReadMessageObjects(reader.Array("objects"), source)};
}

std::string AdminCodec::EncodeHistory(
    const std::vector<ConfigVersion>& versions) {
  json array = json::array();
  for (const ConfigVersion& version : versions)
    array.push_back(WriteVersion(version));
  return Dump({{"versions", std::move(array)}});
}

std::vector<ConfigVersion> AdminCodec::DecodeHistory(std::string_view text) {
  const std::string source = "history";
  json value = ParseMessage(text, source);
  std::vector<ConfigVersion> versions;
  for (const json& item : MessageReader(value, source).Array("versions"))
    versions.push_back(ReadVersion(item, source));
  return versions;
}

std::string AdminCodec::EncodeStatus(const AdminStatus& status) {
  json entries = json::array();
  for (const EntryStatus& entry : status.entries)
    entries.push_back(WriteEntry(entry));
  json servers = json::array();
  for (const ServerStatus& server : status.servers)
    servers.push_back(WriteServer(server));
  return Dump({{"entries", std::move(entries)},
               {"servers", std::move(servers)},
               {"version", status.version}});
}

AdminStatus AdminCodec::DecodeStatus(std::string_view text) {
  json value = ParseMessage(text, "status");
  MessageReader reader(value, "status");
  AdminStatus status;
  status.version = reader.Integer("version");
  for (const json& item : reader.Array("entries"))
    status.entries.push_back(ReadEntry(item));
  for (const json& item : reader.Array("servers"))
    status.servers.push_back(ReadServer(item));
  return status;
}

}  // namespace vanillalever::config
