#include "message_reader.h"

#include <optional>
#include <utility>

#include "object_json.h"

namespace vanillalever::config {
namespace {

json ParseOrNull(const std::string& text) {
  return text.empty() ? json() : json::parse(text);
}

std::string DumpOrEmpty(const json& value) {
  return value.is_null() ? std::string() : Dump(value);
}

json WriteObjectDiff(const ObjectDiff& difference) {
  json fields = json::array();
  for (const FieldChange& change : difference.fields) {
    fields.push_back({{"path", change.path},
                      {"before", ParseOrNull(change.before)},
                      {"after", ParseOrNull(change.after)}});
  }
  return {{"object", difference.id.text()},
          {"action", kDiffActionNames.name(difference.action)},
          {"fields", std::move(fields)}};
}

ObjectDiff ReadObjectDiff(const json& value, const std::string& source) {
  MessageReader reader(value, source);
  std::optional<ObjectId> id = ParseObjectId(reader.String("object"));
  if (!id)
    reader.ThrowError("object", "kind/name");
  std::optional<DiffAction> action =
      kDiffActionNames.value(reader.String("action"));
  if (!action)
    reader.ThrowError("action", "one of " + kDiffActionNames.joined());
  ObjectDiff difference{*id, *action, {}};
  for (const json& item : reader.Array("fields")) {
    MessageReader field(item, source);
    difference.fields.push_back({field.String("path"),
                                 DumpOrEmpty(field.Field("before")),
                                 DumpOrEmpty(field.Field("after"))});
  }
  return difference;
}

}  // namespace

MessageReader::MessageReader(const json& value, std::string source)
    : value_(value), source_(std::move(source)) {
  if (!value_.is_object())
    ThrowError("", "a JSON object, found " + DescribeValue(value_));
}

const json& MessageReader::Field(const char* field) const {
  auto found = value_.find(field);
  if (found == value_.end())
    ThrowError(field, "this field, found none");
  return *found;
}

std::string MessageReader::String(const char* field) const {
  const json& value = Field(field);
  if (!value.is_string())
    ThrowError(field, "a text, found " + DescribeValue(value));
  return value.get<std::string>();
}

std::string MessageReader::OptionalString(const char* field) const {
  return Has(field) ? String(field) : std::string();
}

std::int64_t MessageReader::Integer(const char* field) const {
  const json& value = Field(field);
  if (!value.is_number_integer() ||
      (value.is_number_unsigned() &&
       value.get<std::uint64_t>() > std::uint64_t{INT64_MAX}))
    ThrowError(field, "an integer, found " + DescribeValue(value));
  return value.get<std::int64_t>();
}

double MessageReader::Number(const char* field) const {
  const json& value = Field(field);
  if (!value.is_number())
    ThrowError(field, "a number, found " + DescribeValue(value));
  return value.get<double>();
}

bool MessageReader::Bool(const char* field) const {
  const json& value = Field(field);
  if (!value.is_boolean())
    ThrowError(field, "true or false, found " + DescribeValue(value));
  return value.get<bool>();
}

std::chrono::milliseconds MessageReader::Milliseconds(const char* field) const {
  return std::chrono::milliseconds(Integer(field));
}

const json& MessageReader::Array(const char* field) const {
  const json& value = Field(field);
  if (!value.is_array())
    ThrowError(field, "a list, found " + DescribeValue(value));
  return value;
}

void MessageReader::ThrowError(const std::string& field,
                               const std::string& expected) const {
  throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kParse,
                          Describe(ConfigError{source_, field, expected}));
}

json WriteDiff(const Diff& diff) {
  json array = json::array();
  for (const ObjectDiff& difference : diff)
    array.push_back(WriteObjectDiff(difference));
  return array;
}

Diff ReadDiff(const json& value, const std::string& source) {
  Diff diff;
  for (const json& item : value)
    diff.push_back(ReadObjectDiff(item, source));
  return diff;
}

json WriteVersion(const ConfigVersion& version) {
  return {{"version", version.number},      {"author", version.author},
          {"time", version.time},           {"reason", version.reason},
          {"token", version.token},         {"body_hash", version.body_hash},
          {"diff", WriteDiff(version.diff)}};
}

ConfigVersion ReadVersion(const json& value, const std::string& source) {
  MessageReader reader(value, source);
  ConfigVersion version;
  version.number = reader.Integer("version");
  version.author = reader.String("author");
  version.time = reader.String("time");
  version.reason = reader.String("reason");
  version.token = reader.String("token");
  version.body_hash = reader.OptionalString("body_hash");
  version.diff = ReadDiff(reader.Array("diff"), source);
  return version;
}

json WriteErrors(const ConfigErrors& errors) {
  json array = json::array();
  for (const ConfigError& error : errors) {
    array.push_back({{"object", error.object},
                     {"field", error.field},
                     {"expected", error.expected}});
  }
  return array;
}

ConfigErrors ReadErrors(const json& value, const std::string& source) {
  ConfigErrors errors;
  for (const json& item : value) {
    MessageReader reader(item, source);
    errors.push_back({reader.String("object"), reader.String("field"),
                      reader.String("expected")});
  }
  return errors;
}

std::vector<Object> ReadMessageObjects(const json& value,
                                       const std::string& source) {
  std::vector<Object> objects;
  ConfigErrors errors;
  ReadObjects(value, source, objects, errors);
  if (!errors.empty())
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kParse, Describe(errors.front()));
  return objects;
}

}  // namespace vanillalever::config
