#include "row_reader.h"

#include "vanillalever/base/error.h"

namespace vanillalever::program {

namespace {

[[noreturn]] void ThrowMalformedRow(const std::string& message,
                                    std::string_view row_key) {
  throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kParse,
                          "malformed row: " + message, std::string(row_key));
}

}  // namespace

RowReader::RowReader(const nlohmann::json& value, std::string_view row_key)
    : value_(value), row_key_(row_key) {
  if (!value.is_object())
    Fail("not an object");
}

nlohmann::json RowReader::ParseText(std::string_view text,
                                    std::string_view row_key) {
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded())
    ThrowMalformedRow("not JSON", row_key);
  return value;
}

void RowReader::Fail(const std::string& message) const {
  ThrowMalformedRow(message, row_key_);
}

const nlohmann::json& RowReader::Field(const char* name) {
  auto field = value_.find(name);
  if (field == value_.end())
    Fail(std::string(name) + " is missing");
  ++read_count_;
  return *field;
}

std::string RowReader::String(const char* name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_string())
    Fail(std::string(name) + " is not a string");
  return field.get<std::string>();
}

bool RowReader::Bool(const char* name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_boolean())
    Fail(std::string(name) + " is not a boolean");
  return field.get<bool>();
}

std::int64_t RowReader::Amount(const char* name, std::int64_t max) {
  // The JSON parser stores every integer without a minus sign as unsigned.
  std::uint64_t value = Unsigned64(name);
  if (value > static_cast<std::uint64_t>(max))
    Fail(std::string(name) + " is out of range");
  return static_cast<std::int64_t>(value);
}

std::uint64_t RowReader::Unsigned64(const char* name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_number_unsigned())
    Fail(std::string(name) + " is not an unsigned integer");
  return field.get<std::uint64_t>();
}

std::uint32_t RowReader::Unsigned32(const char* name) {
  return static_cast<std::uint32_t>(
      Amount(name, std::numeric_limits<std::uint32_t>::max()));
}

const nlohmann::json& RowReader::Object(const char* name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_object())
    Fail(std::string(name) + " is not an object");
  return field;
}

const nlohmann::json& RowReader::Array(const char* name) {
  const nlohmann::json& field = Field(name);
  if (!field.is_array())
    Fail(std::string(name) + " is not an array");
  return field;
}

void RowReader::Finish() const {
  if (read_count_ != value_.size())
    Fail("unknown fields");
}

}  // namespace vanillalever::program
