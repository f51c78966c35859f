#ifndef VANILLALEVER_PROGRAM_ROW_READER_H_
#define VANILLALEVER_PROGRAM_ROW_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace vanillalever::program {

// Strict reader of one JSON object: fields must be present, of the requested
// type and in range, and Finish() refuses fields that were not read. Failures
// are thrown as base::Error (kInvalidRequest at kParse) with the row key as
// peer.
class RowReader {
 public:
  // Both arguments must outlive the reader. Throws unless `value` is an object.
  RowReader(const nlohmann::json& value, std::string_view row_key);

  // Parses the text of a row; throws on malformed JSON.
  static nlohmann::json ParseText(std::string_view text,
                                  std::string_view row_key);

  [[noreturn]] void Fail(const std::string& message) const;

  bool Has(const char* name) const { return value_.contains(name); }
  // Field of any type.
  const nlohmann::json& Field(const char* name);
  std::string String(const char* name);
  bool Bool(const char* name);
  // Integer from zero to `max`.
  std::int64_t Amount(
      const char* name,
      std::int64_t max = std::numeric_limits<std::int64_t>::max());
  std::uint64_t Unsigned64(const char* name);
  std::uint32_t Unsigned32(const char* name);
  const nlohmann::json& Object(const char* name);
  const nlohmann::json& Array(const char* name);

  // Enumerator whose name the string field contains.
  template <typename Table>
  auto Enum(const char* name, const Table& table) {
    auto value = table.value(String(name));
    if (!value)
      Fail(std::string(name) + " is not one of " + table.joined());
    return *value;
  }

  // Throws if the object has fields that were not read.
  void Finish() const;

 private:
  const nlohmann::json& value_;
  // Key of the row, for error messages.
  std::string_view row_key_;
  // Number of fields read so far.
  std::size_t read_count_ = 0;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_ROW_READER_H_
