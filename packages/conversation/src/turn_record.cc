#include "vanillalever/conversation/turn_record.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "retention_ms.h"
#include "turn.capnp.h"

#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::conversation {
namespace {

namespace wire = protocol::turn;
using protocol::Bytes;

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// Separates the number of rows from the first row's part of the record.
constexpr char kCountSeparator = ' ';

}  // namespace

TurnRecord MakeTurnRecord(const Turn& turn) {
  TurnRecord record;
  record.input = turn.input;
  record.output = turn.output;
  record.organisation = turn.organisation;
  record.retention = turn.retention;
  for (const Turn* ancestor = turn.previous.get(); ancestor != nullptr;
       ancestor = ancestor->previous.get()) {
    record.history_bytes += ancestor->bytes();
    if (record.ancestors.size() < kMaxRecordAncestors)
      record.ancestors.push_back(ancestor->id);
  }
  return record;
}

std::string EncodeTurnRecord(const TurnRecord& record) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::TurnRecord>();
  auto ancestors =
      root.initAncestors(static_cast<unsigned>(record.ancestors.size()));
  for (unsigned i = 0; i < ancestors.size(); ++i)
    ancestors.set(i, record.ancestors[i]);
  root.setInput(Bytes(record.input));
  root.setOutput(Bytes(record.output));
  if (record.organisation)
    root.setOrganisation(*record.organisation);
  root.setRetentionMs(static_cast<std::uint64_t>(
      std::chrono::duration_cast<base::milliseconds>(record.retention)
          .count()));
  root.setHistoryBytes(record.history_bytes);
  return protocol::Pack(message);
}

std::optional<TurnRecord> DecodeTurnRecord(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(Bytes(bytes));
    capnp::PackedMessageReader reader(stream);
    auto root = reader.getRoot<wire::TurnRecord>();
    TurnRecord record;
    for (auto ancestor : root.getAncestors())
      record.ancestors.emplace_back(ancestor.cStr(), ancestor.size());
    record.input = ToString(root.getInput());
    record.output = ToString(root.getOutput());
    if (root.hasOrganisation())
      record.organisation.emplace(root.getOrganisation().cStr(),
                                  root.getOrganisation().size());
    record.retention = ParseRetention(root.getRetentionMs());
    record.history_bytes = root.getHistoryBytes();
    return record;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

std::vector<std::string> SplitIntoRows(std::string_view encoded,
                                       std::size_t max_bytes) {
  // Space for the number of rows.
  constexpr std::size_t kCountBytes = 8;
  std::size_t step = std::max<std::size_t>(1, max_bytes - kCountBytes);
  std::vector<std::string> rows;
  for (std::size_t start = 0; start < encoded.size() || rows.empty();
       start += step)
    rows.emplace_back(encoded.substr(start, step));
  rows.front().insert(0, std::to_string(rows.size()) + kCountSeparator);
  return rows;
}

std::optional<std::string> JoinRows(const std::vector<std::string>& rows) {
  if (rows.empty())
    return std::nullopt;
  const std::string& first = rows.front();
  std::size_t count = 0;
  const char* end = first.data() + first.size();
  auto [rest, error] = std::from_chars(first.data(), end, count);
  if (error != std::errc() || rest == end || *rest != kCountSeparator ||
      count != rows.size())
    return std::nullopt;
  std::string encoded(rest + 1, end);
  for (std::size_t i = 1; i < rows.size(); ++i)
    encoded += rows[i];
  return encoded;
}

}  // namespace vanillalever::conversation
