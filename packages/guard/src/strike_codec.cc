#include "vanillalever/guard/strike_codec.h"

#include <cstddef>
#include <nlohmann/json.hpp>

#include "vanillalever/base/error.h"
#include "vanillalever/guard/fingerprint.h"

namespace vanillalever::guard {

namespace {

using nlohmann::json;

// Version of the row format; Decode() rejects any other.
constexpr int kFormatVersion = 1;
constexpr std::size_t kFieldCount = 5;

[[noreturn]] void ThrowMalformedRow(const std::string& message,
                                    std::string_view key) {
  throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kParse,
                          "malformed strike row: " + message,
                          std::string(key.substr(0, 128)));
}

const json& RequiredField(const json& row,
                          const char* name,
                          std::string_view key) {
  auto field = row.find(name);
  if (field == row.end())
    ThrowMalformedRow(std::string(name) + " is missing", key);
  return *field;
}

std::string StringValue(const json& value,
                        const char* name,
                        std::string_view key) {
  if (!value.is_string())
    ThrowMalformedRow(std::string(name) + " is not a string", key);
  return value.get<std::string>();
}

}  // namespace

std::string StrikeCodec::Key(std::string_view fingerprint) {
  std::string key(kPrefix);
  key += fingerprint;
  return key;
}

std::string StrikeCodec::ParseKey(std::string_view key) {
  bool prefixed = key.substr(0, kPrefix.size()) == kPrefix;
  if (!prefixed || !IsFingerprint(key.substr(kPrefix.size())))
    ThrowMalformedRow("not the key of a strike row", key);
  return std::string(key.substr(kPrefix.size()));
}

std::string StrikeCodec::Encode(const StrikeRecord& record) {
  json row = {{"format", kFormatVersion},
              {"crashes", record.crashes},
              {"quarantined", record.quarantined},
              {"alone_token", record.alone_token},
              {"alone_server", record.alone_server}};
  return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

StrikeRecord StrikeCodec::Decode(std::string_view key, std::string_view value) {
  ParseKey(key);
  json row = json::parse(value, nullptr, false);
  if (!row.is_object() || row.size() != kFieldCount)
    ThrowMalformedRow("not an object of the known fields", key);
  const json& format = RequiredField(row, "format", key);
  if (!format.is_number_unsigned() || format != kFormatVersion)
    ThrowMalformedRow("unknown format", key);
  StrikeRecord record;
  const json& crashes = RequiredField(row, "crashes", key);
  if (!crashes.is_array())
    ThrowMalformedRow("crashes is not an array", key);
  for (const json& crash : crashes) {
    if (!record.crashes.insert(StringValue(crash, "crash", key)).second)
      ThrowMalformedRow("a crash occurs twice", key);
  }
  if (record.crashes.empty())
    ThrowMalformedRow("there is no crash", key);
  const json& quarantined = RequiredField(row, "quarantined", key);
  if (!quarantined.is_boolean())
    ThrowMalformedRow("quarantined is not a boolean", key);
  record.quarantined = quarantined.get<bool>();
  record.alone_token =
      StringValue(RequiredField(row, "alone_token", key), "alone_token", key);
  record.alone_server =
      StringValue(RequiredField(row, "alone_server", key), "alone_server", key);
  return record;
}

}  // namespace vanillalever::guard
