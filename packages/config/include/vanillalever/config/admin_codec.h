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

// Change set read from a request, and every fault found in it.
struct DecodedChange {
  ChangeSet change;
  ConfigErrors errors;
};

// Answer to a validate or apply request.
struct ChangeResponse {
  // Version that holds the change; for a refusal or a validation, the current
  // one.
  std::int64_t version = 0;
  // Differences from the version before, if the change is accepted.
  Diff diff;
  // Set if the change is refused.
  std::optional<base::ErrorInfo> error;
  ConfigErrors errors;
  std::vector<ObjectId> conflicts;
};

// Answer to a config request.
struct ConfigResponse {
  std::int64_t version = 0;
  std::vector<Object> objects;
};

// JSON bodies of the admin API, shared by the entry and vanillaleverctl. The
// functions that read answers ignore fields they do not know, so that the tool
// and the entry may differ by a release, and throw base::Error for text that is
// no such answer.
class AdminCodec {
 public:
  static std::string EncodeChange(const ChangeSet& change);
  static DecodedChange DecodeChange(std::string_view text);

  // Answer for the result of Apply or Rebase. `version` as in ChangeResponse.
  static ChangeResponse MakeChangeResponse(const ChangeResult& result,
                                           std::int64_t version);
  // Answer for a request whose body has faults.
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
