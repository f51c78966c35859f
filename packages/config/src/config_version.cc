#include "vanillalever/config/config_version.h"

#include <ctime>

#include "message_reader.h"
#include "object_json.h"

namespace vanillalever::config {
namespace {

void RequireHash(const ConfigBody& body, const MessageReader& reader) {
  if (body.set.BodyHash() != body.version.body_hash)
    reader.ThrowError("body_hash", "the hash of the objects, " +
                                       body.set.BodyHash() + ", found " +
                                       body.version.body_hash);
}

}  // namespace

std::string BodyKey(std::int64_t number) {
  return "config/v/" + std::to_string(number);
}

std::string UtcTimestamp() {
  std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  char text[32];
  std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return {text, length};
}

std::string EncodeHead(const ConfigHead& head) {
  return Dump({{"version", head.number},
               {"body_hash", head.body_hash},
               {"token", head.token}});
}

ConfigHead DecodeHead(std::string_view text) {
  json value = ParseMessage(text, kHeadKey);
  MessageReader reader(value, std::string(kHeadKey));
  return {reader.Integer("version"), reader.String("body_hash"),
          reader.String("token")};
}

std::string EncodeBody(const ConfigBody& body) {
  json value = WriteVersion(body.version);
  json objects = json::array();
  for (const Object& object : body.set.Objects())
    objects.push_back(WriteObject(object));
  value["objects"] = std::move(objects);
  return Dump(value);
}

ConfigBody DecodeBody(std::string_view text) {
  const std::string source = "config/v";
  json value = ParseMessage(text, source);
  MessageReader reader(value, source);
  ConfigBody body;
  body.version = ReadVersion(value, source);
  BuiltSet built =
      BuildSet(ReadMessageObjects(reader.Array("objects"), source));
  if (!built.errors.empty())
    reader.ThrowError("objects", Describe(built.errors.front()));
  body.set = std::move(built.set);
  RequireHash(body, reader);
  return body;
}

}  // namespace vanillalever::config
