#ifndef VANILLALEVER_PLATFORM_STORE_JSON_H_
#define VANILLALEVER_PLATFORM_STORE_JSON_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "vanillalever/platform/instance_record.h"
#include "vanillalever/platform/transaction.h"

namespace vanillalever::platform {

// JSON encoding of the platform's HTTP interface. The parsing functions throw
// nlohmann::json::exception on malformed input.

// {"key", "value", "version", "token"}.
nlohmann::json ToJson(const Row& row);
Row ParseRow(const nlohmann::json& json);

// {"token", "conditions":[{"key","version"}], "writes":[{"key","value"|null}]}.
nlohmann::json ToJson(const Transaction& transaction);
Transaction ParseTransaction(const nlohmann::json& json);

// {"address", "service", "data_centre", "state": "live"|"leaving"}. An unknown
// state is parsed as leaving, so that the instance receives no new work.
nlohmann::json ToJson(const InstanceRecord& record);
InstanceRecord ParseInstance(const nlohmann::json& json);

// Percent-encodes all bytes except letters, digits and "-._~/" for use in a
// path or a query value.
std::string PercentEncode(std::string_view text);

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_STORE_JSON_H_
