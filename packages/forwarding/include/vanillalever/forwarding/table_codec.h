#ifndef VANILLALEVER_FORWARDING_TABLE_CODEC_H_
#define VANILLALEVER_FORWARDING_TABLE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// A transaction or a read that a gateway makes through another one.
using TableCall = std::variant<std::vector<TableWrite>, TableRange>;

std::string EncodeTableCall(const TableCall& call);
// Returns nothing if `bytes` are not a call.
std::optional<TableCall> DecodeTableCall(std::string_view bytes);

std::string EncodeTableReply(const TransactionResult& result);
std::string EncodeTableReply(const ReadResult& result);
// Outcome kUnknown, or kNotDone for a read, if `bytes` are not a reply.
TransactionResult DecodeTransactionReply(std::string_view bytes);
ReadResult DecodeReadReply(std::string_view bytes);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TABLE_CODEC_H_
