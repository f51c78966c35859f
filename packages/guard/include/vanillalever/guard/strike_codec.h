#ifndef VANILLALEVER_GUARD_STRIKE_CODEC_H_
#define VANILLALEVER_GUARD_STRIKE_CODEC_H_

#include <string>
#include <string_view>

#include "vanillalever/guard/strike_record.h"

namespace vanillalever::guard {

// Encodes strike records as JSON rows of the platform's table. Parsing is
// strict: an unknown, missing or mistyped field throws base::Error
// (kInvalidRequest at kParse, with the key as peer).
class StrikeCodec {
 public:
  // Prefix of all row keys.
  static constexpr std::string_view kPrefix = "strike/";

  // "strike/<fingerprint>".
  static std::string Key(std::string_view fingerprint);
  // Returns the fingerprint in `key`; throws if it is not the key of a strike
  // row.
  static std::string ParseKey(std::string_view key);

  static std::string Encode(const StrikeRecord& record);
  static StrikeRecord Decode(std::string_view key, std::string_view value);
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_STRIKE_CODEC_H_
