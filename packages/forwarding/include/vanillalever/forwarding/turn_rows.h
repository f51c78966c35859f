#ifndef VANILLALEVER_FORWARDING_TURN_ROWS_H_
#define VANILLALEVER_FORWARDING_TURN_ROWS_H_

#include <cstddef>
#include <string>

#include "vanillalever/forwarding/record_writer.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Table of the records of turns; see RecordRowName().
inline constexpr const char* kTurnTable = "turns";

// Table that holds a part of the index of turns.
inline std::string TurnIndexTable(std::size_t part) {
  return "turn_index_" + std::to_string(part);
}

// Entry of a turn in the index; in the partition of its record, so that one
// transaction writes both.
inline RowName TurnIndexRow(std::size_t part, const std::string& id) {
  RowName name = RecordRowName(kTurnTable, id, 0);
  name.table = TurnIndexTable(part);
  return name;
}

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TURN_ROWS_H_
