#ifndef VANILLALEVER_CONFIG_MESSAGE_READER_H_
#define VANILLALEVER_CONFIG_MESSAGE_READER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "json_document.h"
#include "vanillalever/base/error.h"
#include "vanillalever/config/config_version.h"

namespace vanillalever::config {

// Reads fields of a message written by another process; throws base::Error for
// a missing field or a wrong type. Unknown fields are ignored.
class MessageReader {
 public:
  // `value` must outlive the reader; `source` identifies the message in errors.
  MessageReader(const json& value, std::string source);

  std::string String(const char* field) const;
  // Empty string if the field is absent.
  std::string OptionalString(const char* field) const;
  std::int64_t Integer(const char* field) const;
  double Number(const char* field) const;
  bool Bool(const char* field) const;
  std::chrono::milliseconds Milliseconds(const char* field) const;
  // Array field.
  const json& Array(const char* field) const;
  bool Has(const char* field) const { return value_.contains(field); }
  // Value of a field of any type.
  const json& Field(const char* field) const;

  // Throws base::Error for a malformed message.
  [[noreturn]] void ThrowError(const std::string& field,
                               const std::string& expected) const;

 private:
  const json& value_;
  std::string source_;
};

// JSON encodings shared by stored rows and admin messages.
json WriteDiff(const Diff& diff);
Diff ReadDiff(const json& value, const std::string& source);
json WriteVersion(const ConfigVersion& version);
ConfigVersion ReadVersion(const json& value, const std::string& source);
json WriteErrors(const ConfigErrors& errors);
ConfigErrors ReadErrors(const json& value, const std::string& source);

// Objects of a message; throws base::Error for the first invalid one.
std::vector<Object> ReadMessageObjects(const json& value,
                                       const std::string& source);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_MESSAGE_READER_H_
