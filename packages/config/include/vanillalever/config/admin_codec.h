#ifndef VANILLALEVER_CONFIG_ADMIN_CODEC_H_
#define VANILLALEVER_CONFIG_ADMIN_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/error.h"
#include "vanillalever/config/admin_status.h"
#include "vanillalever/config/change_set.h"
#include "vanillalever/config/config_version.h"

namespace vanillalever::config {

// Change set decoded from a request, and all errors found in it.
struct DecodedChange {
  ChangeSet change;
  ConfigErrors errors;
};

// Response to a validate or apply request.
struct ChangeResponse {
  // Version that contains the change, or the current version if the change was
  // rejected or only validated.
  std::int64_t version = 0;
  // Differences from the previous version, if the change is accepted.
  Diff diff;
  // Set if the change is rejected.
  std::optional<base::ErrorInfo> error;
  ConfigErrors errors;
  std::vector<ObjectId> conflicts;
};

// Response to a config request.
struct ConfigResponse {
  std::int64_t version = 0;
  std::vector<Object> objects;
};

// JSON bodies of the admin API, shared by the entry and vanillaleverctl. The
// functions that decode responses ignore unknown fields, so that the tool and
// the entry may differ by one release, and throw base::Error for malformed
// text.
class AdminCodec {
 public:
  static std::string EncodeChange(const ChangeSet& change);
  static DecodedChange DecodeChange(std::string_view text);

  // Response for the result of Apply or Rebase; `version` as in ChangeResponse.
  static ChangeResponse MakeChangeResponse(const ChangeResult& result,
                                           std::int64_t version);
  // Response for a request whose body is invalid.
  static ChangeResponse MakeChangeResponse(const ConfigErrors& errors,
                                           std::int64_t version);
  static std::string EncodeChangeResponse(const ChangeResponse& response);
  static ChangeResponse DecodeChangeResponse(std::string_view text);

  static std::string EncodeConfig(std::int64_t version, const ConfigSet& set);
  static ConfigResponse DecodeConfig(std::string_view text);

  static std::string EncodeHistory(const std::vector<ConfigVersion>& versions);
  static std::vector<ConfigVersion> DecodeHistory(std::string_view text);

  static std::string EncodeStatus(const AdminStatus& status);
  static AdminStatus DecodeStatus(std::string_view text);
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_ADMIN_CODEC_H_
