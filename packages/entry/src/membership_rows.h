#ifndef VANILLALEVER_ENTRY_SRC_MEMBERSHIP_ROWS_H_
#define VANILLALEVER_ENTRY_SRC_MEMBERSHIP_ROWS_H_

#include <string>

#include "vanillalever/membership/lease_observer.h"
#include "vanillalever/membership/shard_map.h"
#include "vanillalever/platform/transaction.h"

// Encodes and decodes the JSON values of the rows `entry/<incarnation>` and
// `shard/<n>`.
namespace vanillalever::entry {

inline constexpr char kEntryPrefix[] = "entry/";
inline constexpr char kShardPrefix[] = "shard/";

std::string EntryKey(const std::string& incarnation);

std::string EncodeEntryRow(const membership::EntryRow& row);
// Throws base::Error if the value is malformed.
membership::EntryRow DecodeEntryRow(const platform::Row& row);

std::string EncodeShardRow(const membership::ShardRow& row);
membership::ShardRow DecodeShardRow(const platform::Row& row);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_MEMBERSHIP_ROWS_H_
