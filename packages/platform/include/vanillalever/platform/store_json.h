#ifndef VANILLALEVER_PLATFORM_STORE_JSON_H_
#define VANILLALEVER_PLATFORM_STORE_JSON_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "vanillalever/platform/instance_record.h"
#include "vanillalever/platform/transaction.h"

namespace vanillalever::platform {

// JSON forms of the platform's HTTP interface. The parsing functions throw
// nlohmann::json::exception on input of another form.

// {"key", "value", "version", "token"}.
nlohmann::json ToJson(const Row& row);
Row ParseRow(const nlohmann::json& json);

// {"token", "conditions":[{"key","version"}], "writes":[{"key","value"|null}]}.
nlohmann::json ToJson(const Transaction& transaction);
Transaction ParseTransaction(const nlohmann::json& json);

// {"address", "service", "data_centre", "state": "live"|"leaving"}. An unknown
// state counts as leaving, so that no new work goes to such an instance.
nlohmann::json ToJson(const InstanceRecord& record);
InstanceRecord ParseInstance(const nlohmann::json& json);

// Encodes all bytes but letters, digits and "-._~/" as %XX, for a path or a
// query value.
std::string PercentEncode(std::string_view text);

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_STORE_JSON_H_
