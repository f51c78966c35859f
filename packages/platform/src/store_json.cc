#include "vanillalever/platform/store_json.h"

#include <utility>

namespace vanillalever::platform {

nlohmann::json ToJson(const Row& row) {
  return {{"key", row.key},
          {"value", row.value},
          {"version", row.version},
          {"token", row.token}};
}

Row ParseRow(const nlohmann::json& json) {
  return {json.at("key"), json.at("value"), json.at("version"),
          json.at("token")};
}

nlohmann::json ToJson(const Transaction& transaction) {
  nlohmann::json conditions = nlohmann::json::array();
  for (const Condition& condition : transaction.conditions)
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  nlohmann::json writes = nlohmann::json::array();
  for (const RowWrite& write : transaction.writes) {
    nlohmann::json value;
    if (write.value)
      value = *write.value;
    writes.push_back({{"key", write.key}, {"value", std::move(value)}});
  }
  return {{"token", transaction.token},
          {"conditions", std::move(conditions)},
          {"writes", std::move(writes)}};
}

Transaction ParseTransaction(const nlohmann::json& json) {
  Transaction transaction;
  transaction.token = json.at("token");
  for (const nlohmann::json& condition : json.at("conditions"))
    transaction.conditions.push_back(
        {condition.at("key"), condition.at("version")});
  for (const nlohmann::json& write : json.at("writes")) {
    const nlohmann::json& value = write.at("value");
    RowWrite parsed{write.at("key"), std::nullopt};
    if (!value.is_null())
      parsed.value = value.get<std::string>();
    transaction.writes.push_back(std::move(parsed));
  }
  return transaction;
}

nlohmann::json ToJson(const InstanceRecord& record) {
  return {{"address", record.address},
          {"service", record.service},
          {"data_centre", record.data_centre},
          {"state", kInstanceStateNames.name(record.state)}};
}

InstanceRecord ParseInstance(const nlohmann::json& json) {
  InstanceRecord record;
  record.address = json.at("address");
  record.service = json.at("service");
  record.data_centre = json.at("data_centre");
  record.state = kInstanceStateNames.value(json.at("state").get<std::string>())
                     .value_or(InstanceState::kLeaving);
  return record;
}

std::string PercentEncode(std::string_view text) {
  static constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  static constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      auto byte = static_cast<unsigned char>(c);
      encoded += {'%', kHexDigits[byte >> 4], kHexDigits[byte & 15]};
    }
  }
  return encoded;
}

}  // namespace vanillalever::platform
