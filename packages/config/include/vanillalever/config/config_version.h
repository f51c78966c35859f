#ifndef VANILLALEVER_CONFIG_CONFIG_VERSION_H_
#define VANILLALEVER_CONFIG_CONFIG_VERSION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "vanillalever/config/config_set.h"
#include "vanillalever/config/diff.h"

namespace vanillalever::config {

// Entry of the audit trail: one accepted version, without its objects.
struct ConfigVersion {
  // Number of the version; the first accepted one is 1.
  std::int64_t number = 0;
  std::string author;
  // Wall-clock time of acceptance (ISO 8601, UTC). For display only; no
  // decision depends on it.
  std::string time;
  std::string reason;
  // Token of the change set that made this version.
  std::string token;
  // Differences from the previous version.
  Diff diff;
  // ConfigSet::BodyHash of the objects.
  std::string body_hash;

  bool operator==(const ConfigVersion&) const = default;
};

// A version together with its objects.
struct ConfigBody {
  ConfigVersion version;
  ConfigSet set;
};

// Value of the row `config/head`, updated by compare-and-set.
struct ConfigHead {
  std::int64_t number = 0;
  std::string body_hash;
  // Token of the change set that made the version.
  std::string token;

  bool operator==(const ConfigHead&) const = default;
};

// Table key of the head row.
inline constexpr std::string_view kHeadKey = "config/head";

// Table key of a body row: "config/v/<number>".
std::string BodyKey(std::int64_t number);

// Current wall-clock time in ISO 8601 format, UTC, for ConfigVersion::time.
std::string UtcTimestamp();

// Codecs of the row values. The decoders throw base::Error for malformed text;
// DecodeBody also for a body that does not match its hash.
std::string EncodeHead(const ConfigHead& head);
ConfigHead DecodeHead(std::string_view text);
std::string EncodeBody(const ConfigBody& body);
ConfigBody DecodeBody(std::string_view text);

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_CONFIG_VERSION_H_
