#include "membership_rows.h"

#include <nlohmann/json.hpp>

#include "vanillalever/base/error.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::entry {
namespace {

using Json = nlohmann::json;

base::Error Malformed(const platform::Row& row, const std::string& detail) {
  return base::NotRunError(base::ErrorCode::kInternal, base::Step::kStore,
                           "malformed row: " + detail, row.key);
}

}  // namespace

std::string EntryKey(const std::string& incarnation) {
  return kEntryPrefix + incarnation;
}

std::string EncodeEntryRow(const membership::EntryRow& row) {
  return Json{{"address", row.address},
              {"data_centre", row.data_centre},
              {"state", membership::kEntryStateNames.name(row.state)}}
      .dump();
}

membership::EntryRow DecodeEntryRow(const platform::Row& row) {
  membership::EntryRow entry;
  try {
    Json value = Json::parse(row.value);
    entry.address = value.at("address");
    entry.data_centre = value.at("data_centre");
    auto state = membership::kEntryStateNames.value(
        value.at("state").get<std::string>());
    if (!state)
      throw Malformed(row, "unknown state");
    entry.state = *state;
  } catch (const Json::exception& error) {
    throw Malformed(row, error.what());
  }
  entry.incarnation = row.key.substr(sizeof(kEntryPrefix) - 1);
  entry.version = row.version;
  return entry;
}

std::string EncodeShardRow(const membership::ShardRow& row) {
  return Json{{"owner", row.owner},
              {"address", row.address},
              {"fence", row.fence},
              {"handed_over", row.handed_over}}
      .dump();
}

membership::ShardRow DecodeShardRow(const platform::Row& row) {
  membership::ShardRow shard;
  try {
    Json value = Json::parse(row.value);
    shard.owner = value.at("owner");
    shard.address = value.at("address");
    shard.fence = value.at("fence");
    shard.handed_over = value.at("handed_over");
    shard.shard = static_cast<membership::ShardId>(
        std::stoul(row.key.substr(sizeof(kShardPrefix) - 1)));
  } catch (const std::exception& error) {
    throw Malformed(row, error.what());
  }
  if (shard.shard >= program::kShardCount)
    throw Malformed(row, "shard number out of range");
  shard.version = row.version;
  return shard;
}

}  // namespace vanillalever::entry
