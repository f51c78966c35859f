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

// Parsed key of a program's row.
struct ProgramRowKey {
  ProgramId id;
  // Number of the turn, or nothing for the head row.
  std::optional<std::uint32_t> turn;
};

// Encodes programs as JSON rows of the platform's table and decodes them.
// Decoding is strict: an unknown, missing or mistyped field, an amount out of
// range or a key that does not match the content throws base::Error
// (kInvalidRequest at kParse, with the key as peer).
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
  // Name of the object that stores the body of a turn's answer.
  static std::string ObjectName(const ProgramId& id,
                                std::string_view incarnation,
                                std::uint32_t turn);
  // Throws unless `key` is the key of a head or turn row.
  static ProgramRowKey ParseKey(std::string_view key);

  // Whether the text is UTF-8, so that a row stores it unchanged.
  static bool IsStorable(std::string_view text);

  static std::string EncodeHead(const ProgramHead& head);
  static ProgramHead DecodeHead(std::string_view key, std::string_view value);

  // `incarnation` is the program's. A body that is not UTF-8 is encoded as hex.
  static std::string EncodeTurn(const TurnRecord& record,
                                std::string_view incarnation);
  // Throws also if the row belongs to another incarnation.
  static TurnRecord DecodeTurn(std::string_view key,
                               std::string_view value,
                               std::string_view incarnation);

  // Encodes one commit of one program.
  static ProgramChange EncodeChange(const ProgramCommit& commit);

  // Rebuilds a program from its head row and any subset of its turn rows, in
  // any order. Throws if the head row is missing, a row is duplicated, belongs
  // to another program or is of a turn after the last one.
  static Program Recover(const std::vector<StoredRow>& rows,
                         base::TimePoint now,
                         OwnershipEnd ownership_end = OwnershipEnd::kCrashed);
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_CODEC_H_
