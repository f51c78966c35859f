#ifndef VANILLALEVER_PROGRAM_ROW_READER_H_
#define VANILLALEVER_PROGRAM_ROW_READER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace vanillalever::program {

// Strict reader of one JSON object: every field must be present, of the right
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

  // Throws the error for this row.
  [[noreturn]] void Fail(const std::string& message) const;

  bool Has(const char* name) const { return value_.contains(name); }
  // The field's value, of any type.
  const nlohmann::json& Any(const char* name);
  std::string String(const char* name);
  bool Bool(const char* name);
  // Integer between zero and `max`.
  std::int64_t Amount(
      const char* name,
      std::int64_t max = std::numeric_limits<std::int64_t>::max());
  std::uint64_t Unsigned64(const char* name);
  std::uint32_t Unsigned32(const char* name);
  const nlohmann::json& Object(const char* name);
  const nlohmann::json& Array(const char* name);

  // Enumeration value by its name.
  template <typename Table>
  auto Name(const char* name, const Table& table) {
    auto value = table.value(String(name));
    if (!value)
      Fail(std::string(name) + " is not one of " + table.joined());
    return *value;
  }

  // Throws if the object has fields that were not read.
  void Finish() const;

 private:
  // The object.
  const nlohmann::json& value_;
  // Key of the row, for errors.
  std::string_view row_key_;
  // Fields read so far.
  std::size_t read_ = 0;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_ROW_READER_H_
