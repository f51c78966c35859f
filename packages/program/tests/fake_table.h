#ifndef VANILLALEVER_PROGRAM_TESTS_FAKE_TABLE_H_
#define VANILLALEVER_PROGRAM_TESTS_FAKE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/program/program_codec.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::program {

// In-memory table with the transaction semantics of the platform's table.
class FakeTable {
 public:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    std::string token;
  };

  // Returns the key of the first failed condition, or nothing if the plan was
  // applied.
  std::optional<std::string> Apply(const TransactionPlan& plan) {
    for (const RowCondition& condition : plan.conditions) {
      auto row = rows.find(condition.key);
      if ((row == rows.end() ? 0 : row->second.version) != condition.version)
        return condition.key;
    }
    ++version;
    for (const RowWrite& write : plan.writes) {
      if (write.value)
        rows[write.key] = {*write.value, version, plan.token};
      else
        rows.erase(write.key);
    }
    return std::nullopt;
  }

  // Writes a shard row without conditions, as a takeover does.
  ShardCondition TakeShard(std::uint32_t shard) {
    ++version;
    rows[RecordBatch::ShardKey(shard)] = {"owner", version, "takeover"};
    return {shard, version};
  }

  // Rows whose keys start with the prefix.
  std::vector<StoredRow> List(const std::string& prefix) const {
    std::vector<StoredRow> found;
    for (auto row = rows.lower_bound(prefix);
         row != rows.end() && row->first.starts_with(prefix); ++row)
      found.push_back({row->first, row->second.value, row->second.version});
    return found;
  }

  ProgramHead Head(const ProgramId& id) const {
    std::string key = ProgramCodec::HeadKey(id);
    return ProgramCodec::DecodeHead(key, rows.at(key).value);
  }

  TurnRecord Turn(const ProgramId& id,
                  std::uint32_t turn,
                  const std::string& incarnation) const {
    std::string key = ProgramCodec::TurnKey(id, turn);
    return ProgramCodec::DecodeTurn(key, rows.at(key).value, incarnation);
  }

  std::map<std::string, Row> rows;
  std::uint64_t version = 0;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_TESTS_FAKE_TABLE_H_
