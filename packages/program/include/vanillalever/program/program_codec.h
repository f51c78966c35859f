#ifndef VANILLALEVER_PROGRAM_PROGRAM_CODEC_H_
#define VANILLALEVER_PROGRAM_PROGRAM_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/program/program.h"
#include "vanillalever/program/program_head.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::program {

// One row read from the table.
struct StoredRow {
  std::string key;
  std::string value;
  // Version of the row.
  std::uint64_t version = 0;
};

// Parts of a row key.
struct ProgramRowKey {
  ProgramId id;
  // Number of the turn, or nothing for the head row.
  std::optional<std::uint32_t> turn;
};

// JSON rows of programs in the platform's table. Parsing is strict: an unknown,
// missing or mistyped field, an amount out of range or a key that contradicts
// the content is thrown as base::Error (kInvalidRequest at kParse, with the
// key as peer).
class ProgramCodec {
 public:
  // "prog/<shard>/": prefix of all rows of a shard.
  static std::string ShardPrefix(std::uint32_t shard);
  // "prog/<shard>/<program>/": prefix of all rows of a program.
  static std::string ProgramPrefix(const ProgramId& id);
  // "prog/<shard>/<program>/head".
  static std::string HeadKey(const ProgramId& id);
  // "prog/<shard>/<program>/t/<turn>".
  static std::string TurnKey(const ProgramId& id, std::uint32_t turn);
  // Name of the object that holds the body of a turn's answer.
  static std::string ObjectName(const ProgramId& id,
                                std::string_view incarnation,
                                std::uint32_t turn);
  // Parts of a row key; throws on any other key.
  static ProgramRowKey ParseKey(std::string_view key);

  // Whether the text can be stored in a row unchanged (it is UTF-8).
  static bool IsStorable(std::string_view text);

  static std::string EncodeHead(const ProgramHead& head);
  static ProgramHead DecodeHead(std::string_view key, std::string_view value);

  // `incarnation` is the program's. A body that is not UTF-8 is written as hex.
  static std::string EncodeTurn(const TurnRecord& record,
                                std::string_view incarnation);
  // Throws also if the row belongs to another incarnation.
  static TurnRecord DecodeTurn(std::string_view key,
                               std::string_view value,
                               std::string_view incarnation);

  // Row writes of one commit of one program.
  static ProgramChange EncodeChange(const ProgramCommit& image);

  // Rebuilds a program from its head row and any of its turn rows, in any
  // order. Throws if the head row is missing, a row is duplicated or rows of
  // another program or a turn after the last one are among them.
  static Program Recover(const std::vector<StoredRow>& rows,
                         base::TimePoint now,
                         OwnershipEnd former = OwnershipEnd::kCrashed);
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_CODEC_H_
