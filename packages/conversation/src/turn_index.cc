#include "vanillalever/conversation/turn_index.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "retention_ms.h"
#include "turn.capnp.h"

#include "vanillalever/base/hash.h"
#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::conversation {
namespace {

namespace wire = protocol::turn;

// A record that no other continues is kept for this many retention times: the
// rest is for responses that end long after their record, and for gateways that
// were late to learn of it.
constexpr int kKeptRetentions = 3;
constexpr base::seconds kRetryDelay{2};
// More rows do not fit into one transaction.
constexpr std::uint32_t kMaxRows = 48;

}  // namespace

std::string EncodeTurnIndexEntry(const TurnIndexEntry& entry) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::TurnIndexEntry>();
  root.setPrevious(entry.previous);
  root.setRetentionMs(static_cast<std::uint64_t>(
      std::chrono::duration_cast<base::milliseconds>(entry.retention).count()));
  root.setRows(static_cast<std::uint32_t>(entry.rows));
  return protocol::Pack(message);
}

std::optional<TurnIndexEntry> DecodeTurnIndexEntry(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(protocol::Bytes(bytes));
    capnp::PackedMessageReader reader(stream);
    auto root = reader.getRoot<wire::TurnIndexEntry>();
    if (root.getRows() == 0 || root.getRows() > kMaxRows)
      return std::nullopt;
    TurnIndexEntry entry;
    entry.previous.assign(root.getPrevious().cStr(), root.getPrevious().size());
    entry.retention = ParseRetention(root.getRetentionMs());
    entry.rows = root.getRows();
    return entry;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

std::size_t TurnIndexPart(const Turn& turn) {
  const Turn* first = &turn;
  while (first->previous)
    first = first->previous.get();
  return base::Hash64(first->id) % kTurnIndexParts;
}

void TurnIndex::BeginListing() {
  unlisted_.clear();
  for (auto& [id, node] : nodes_) {
    if (node.known)
      unlisted_.insert(id);
    // What became of the deletion is seen in the listing.
    if (std::exchange(node.deleting, false))
      Queue(id, node, node.expires);
  }
}

void TurnIndex::EndListing() {
  for (const std::string& id : std::exchange(unlisted_, {}))
    Erase(id);
}

void TurnIndex::Put(const std::string& id,
                    const TurnIndexEntry& entry,
                    std::uint64_t version,
                    base::TimePoint now) {
  unlisted_.erase(id);
  if (auto found = nodes_.find(id);
      found != nodes_.end() && found->second.known) {
    if (found->second.version >= version)
      return;
    // The id was used again.
    Erase(id);
  }
  Node& node = nodes_[id];
  node.known = true;
  node.entry = entry;
  // A turn can't continue itself.
  if (node.entry.previous == id)
    node.entry.previous.clear();
  node.version = version;
  node.expires = now + std::max(kKeptRetentions * entry.retention,
                                entry.retention + longest_turn_);
  ++known_;
  Queue(id, node, node.expires);
  if (std::string previous = node.entry.previous; !previous.empty())
    ++nodes_[previous].successors;
}

void TurnIndex::Remove(const std::string& id, std::uint64_t version) {
  auto found = nodes_.find(id);
  if (found == nodes_.end() || !found->second.known ||
      found->second.version >= version)
    return;
  unlisted_.erase(id);
  Erase(id);
}

void TurnIndex::Erase(const std::string& id) {
  auto found = nodes_.find(id);
  std::string previous = std::move(found->second.entry.previous);
  --known_;
  if (found->second.successors == 0) {
    nodes_.erase(found);
  } else {
    std::size_t successors = found->second.successors;
    found->second = {};
    found->second.successors = successors;
  }
  if (previous.empty())
    return;
  auto before = nodes_.find(previous);
  Node& node = before->second;
  if (--node.successors > 0)
    return;
  if (!node.known)
    nodes_.erase(before);
  else if (!node.queued && !node.deleting)
    Queue(previous, node, node.expires);
}

void TurnIndex::Queue(const std::string& id, Node& node, base::TimePoint when) {
  node.queued = true;
  checks_.emplace(when, id);
}

std::vector<TurnIndex::Expired> TurnIndex::TakeExpired(
    base::TimePoint known_until,
    std::size_t most) {
  std::vector<Expired> expired;
  while (!checks_.empty() && checks_.begin()->first <= known_until &&
         expired.size() < most) {
    std::string id = std::move(checks_.begin()->second);
    checks_.erase(checks_.begin());
    auto found = nodes_.find(id);
    if (found == nodes_.end() || !found->second.queued)
      continue;
    Node& node = found->second;
    // The id was used again since.
    if (node.expires > known_until)
      continue;
    node.queued = false;
    if (node.successors > 0)
      continue;
    node.deleting = true;
    expired.push_back({std::move(id), node.version, node.entry.rows});
  }
  return expired;
}

void TurnIndex::OnDeleteFailed(const std::string& id, base::TimePoint now) {
  auto found = nodes_.find(id);
  if (found == nodes_.end() || !found->second.deleting)
    return;
  found->second.deleting = false;
  Queue(id, found->second, now + kRetryDelay);
}

}  // namespace vanillalever::conversation
