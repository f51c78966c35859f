#ifndef VANILLALEVER_CONVERSATION_TURN_RECORD_H_
#define VANILLALEVER_CONVERSATION_TURN_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/conversation/turn.h"

namespace vanillalever::conversation {

// Durable form of a turn.
struct TurnRecord {
  // Ids of earlier turns, from the predecessor to older ones; empty for the
  // first turn of a conversation. Bounded: the last one named may have
  // predecessors that only its own record names.
  std::vector<std::string> ancestors;
  std::string input;
  std::string output;
  // See Turn.
  std::optional<std::string> organisation;
  // See Turn; in records that an earlier release wrote again, the longest that
  // any gateway has needed. Whole milliseconds.
  base::Duration retention{};
  // Bytes of all turns before this one; zero if the record does not state it.
  std::uint64_t history_bytes = 0;

  bool operator==(const TurnRecord&) const = default;
};

// Maximum number of ancestors in a record.
inline constexpr std::size_t kMaxRecordAncestors = 64;

TurnRecord MakeTurnRecord(const Turn& turn);

std::string EncodeTurnRecord(const TurnRecord& record);
// Returns nothing if `bytes` are not a record.
std::optional<TurnRecord> DecodeTurnRecord(std::string_view bytes);

// Splits an encoded record into values of at most `max_bytes` each; a store
// limits the size of a row.
std::vector<std::string> SplitIntoRows(std::string_view encoded,
                                       std::size_t max_bytes);
// Inverse of SplitIntoRows(). Returns nothing if a row is missing.
std::optional<std::string> JoinRows(const std::vector<std::string>& rows);

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_TURN_RECORD_H_
