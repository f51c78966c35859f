#include "vanillalever/forwarding/table_codec.h"

#include <utility>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "table.capnp.h"

#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::forwarding {
namespace {

namespace wire = protocol::table;
using protocol::Bytes;
using protocol::Pack;

// A list of empty entries takes a few bytes, whatever its length; an entry that
// was written takes at least one.
bool Plausible(std::size_t entries, std::string_view bytes) {
  return entries <= bytes.size();
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

void WriteRows(const std::vector<TableRow>& rows,
               capnp::List<wire::Row>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setTable(rows[i].name.table);
    out[i].setPartition(rows[i].name.partition);
    out[i].setKey(Bytes(rows[i].name.key));
    out[i].setVersion(rows[i].version);
    out[i].setValue(Bytes(rows[i].value));
  }
}

std::vector<TableRow> ReadRows(capnp::List<wire::Row>::Reader rows) {
  std::vector<TableRow> result;
  for (auto row : rows) {
    TableRow& added = result.emplace_back();
    added.name = {row.getTable(), row.getPartition(), ToString(row.getKey())};
    added.version = row.getVersion();
    added.value = ToString(row.getValue());
  }
  return result;
}

template <typename Result>
std::string EncodeReply(const Result& result,
                        const std::vector<TableRow>& rows) {
  capnp::MallocMessageBuilder message;
  auto reply = message.initRoot<wire::TableReply>();
  reply.setOutcome(static_cast<wire::Outcome>(result.outcome));
  reply.setVersion(result.version);
  reply.setReason(result.reason);
  WriteRows(rows, reply.initRows(static_cast<unsigned>(rows.size())));
  return Pack(message);
}

// Returns false if `bytes` are not a reply.
template <typename Result>
bool DecodeReply(std::string_view bytes,
                 Result& result,
                 std::vector<TableRow>& rows) {
  try {
    kj::ArrayInputStream stream(Bytes(bytes));
    capnp::PackedMessageReader reader(stream);
    auto reply = reader.getRoot<wire::TableReply>();
    if (reply.getOutcome() > wire::Outcome::UNKNOWN ||
        !Plausible(reply.getRows().size(), bytes))
      return false;
    result.outcome = static_cast<StoreOutcome>(reply.getOutcome());
    result.version = reply.getVersion();
    result.reason = reply.getReason();
    rows = ReadRows(reply.getRows());
    return true;
  } catch (const kj::Exception&) {
    return false;
  }
}

}  // namespace

std::string EncodeTableCall(const TableCall& call) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::TableCall>();
  if (const auto* range = std::get_if<TableRange>(&call)) {
    auto read = root.initRead();
    read.setTable(range->table);
    read.setPartition(range->partition);
    read.setFrom(Bytes(range->from));
    read.setTo(Bytes(range->to));
    return Pack(message);
  }
  const auto& writes = std::get<std::vector<TableWrite>>(call);
  auto list = root.initTransact(static_cast<unsigned>(writes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setTable(writes[i].name.table);
    list[i].setPartition(writes[i].name.partition);
    list[i].setKey(Bytes(writes[i].name.key));
    list[i].setExpectedVersion(writes[i].expected_version);
    list[i].setDeletes(!writes[i].value);
    if (writes[i].value)
      list[i].setValue(Bytes(*writes[i].value));
  }
  return Pack(message);
}

std::optional<TableCall> DecodeTableCall(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(Bytes(bytes));
    capnp::PackedMessageReader reader(stream);
    auto root = reader.getRoot<wire::TableCall>();
    if (root.isRead()) {
      auto read = root.getRead();
      return TableRange{read.getTable(), read.getPartition(),
                        ToString(read.getFrom()), ToString(read.getTo())};
    }
    if (!Plausible(root.getTransact().size(), bytes))
      return std::nullopt;
    std::vector<TableWrite> writes;
    for (auto write : root.getTransact()) {
      TableWrite& added = writes.emplace_back();
      added.name = {write.getTable(), write.getPartition(),
                    ToString(write.getKey())};
      added.expected_version = write.getExpectedVersion();
      if (!write.getDeletes())
        added.value = ToString(write.getValue());
    }
    return writes;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

std::string EncodeTableReply(const TransactionResult& result) {
  return EncodeReply(result, result.current);
}

std::string EncodeTableReply(const ReadResult& result) {
  return EncodeReply(result, result.rows);
}

TransactionResult DecodeTransactionReply(std::string_view bytes) {
  TransactionResult result;
  if (DecodeReply(bytes, result, result.current))
    return result;
  result = {};
  result.outcome = StoreOutcome::kUnknown;
  result.reason = "unreadable reply of another gateway";
  return result;
}

ReadResult DecodeReadReply(std::string_view bytes) {
  ReadResult result;
  if (DecodeReply(bytes, result, result.rows))
    return result;
  result = {};
  result.reason = "unreadable reply of another gateway";
  return result;
}

}  // namespace vanillalever::forwarding
