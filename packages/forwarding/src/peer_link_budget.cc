// Messages about token budgets.

#include <algorithm>
#include <cstdint>

#include <capnp/message.h>

#include "vanillalever/base/hash.h"
#include "vanillalever/forwarding/peer_link.h"
#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::forwarding {

namespace wire = protocol::peer;
using protocol::Pack;

namespace {

// Rendezvous hashing: the gateway with the largest weight comes first.
std::uint64_t Weight(const std::string& task, const std::string& address) {
  return base::Hash64(task, base::Hash64(address));
}

void WriteKnowledge(const std::string& program,
                    const BudgetKnowledge& knowledge,
                    wire::BudgetKnowledge::Builder to) {
  to.setProgram(program);
  to.setVersion(knowledge.row.version);
  if (knowledge.row.version > 0)
    to.setRow(EncodeBudgetRow(knowledge.row));
  if (!knowledge.claims.empty())
    to.setClaims(EncodeBudgetRow({.shares = knowledge.claims}));
}

BudgetKnowledge ReadKnowledge(const wire::BudgetKnowledge::Reader& from) {
  BudgetKnowledge knowledge;
  if (from.getVersion() > 0)
    knowledge.row = ParseBudgetRow(from.getRow().cStr(), from.getVersion());
  knowledge.claims = ParseBudgetRow(from.getClaims().cStr(), 0).shares;
  return knowledge;
}

std::uint32_t Reserved(const BudgetKnowledge& knowledge) {
  return static_cast<std::uint32_t>(knowledge.row.reserved);
}

}  // namespace

std::vector<RunId> PeerLink::Ranked(const std::string& program) const {
  std::vector<std::pair<std::uint64_t, RunId>> ranked{
      {Weight(program, settings_.address), id_}};
  for (const auto& [run, address] : directory_.live_runs())
    ranked.emplace_back(Weight(program, address), run);
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<RunId> runs;
  runs.reserve(ranked.size());
  for (const auto& [rank, run] : ranked)
    runs.push_back(run);
  return runs;
}

std::optional<bool> PeerLink::LeadsAtStore(const std::string& task) const {
  if (store_lost())
    return std::nullopt;
  if (!reaches_store_)
    return false;
  auto others = directory_.store_addresses();
  return std::all_of(
      others.begin(), others.end(),
      [own = Weight(task, settings_.address), &task](
          const std::string& address) { return Weight(task, address) < own; });
}

std::size_t PeerLink::Reclaim(const ReclaimRequest& request) {
  capnp::MallocMessageBuilder builder;
  auto body = StartMessage(builder).initBudgetCallIn();
  body.setCall(request.id);
  body.setProgram(request.program);
  body.setReserved(Reserved(request.knowledge));
  body.setTokens(static_cast<std::uint32_t>(request.tokens));
  body.setClaim(static_cast<std::uint32_t>(request.claim));
  WriteKnowledge(request.program, request.knowledge, body.initKnowledge());
  std::vector<std::string> addresses = directory_.live_addresses();
  SendToEach(addresses, Pack(builder));
  return addresses.size();
}

std::string PeerLink::PackTransfer(const TokenTransfer& transfer) {
  capnp::MallocMessageBuilder builder;
  auto message = StartMessage(builder);
  auto body = message.initBudgetGive();
  body.setAsk(transfer.request);
  body.setProgram(transfer.program);
  body.setTokens(static_cast<std::uint32_t>(transfer.tokens));
  body.setReserved(Reserved(transfer.knowledge));
  body.setClaimAccepted(transfer.claim_accepted);
  WriteKnowledge(transfer.program, transfer.knowledge, body.initKnowledge());
  return Pack(builder);
}

void PeerLink::Announce(const RowNotice& notice,
                        const std::vector<RunId>& runs) {
  capnp::MallocMessageBuilder builder;
  WriteKnowledge(notice.program, {notice.row, {}},
                 StartMessage(builder).initBudgetRow());
  std::string datagram = Pack(builder);
  for (const auto& [run, address] : directory_.live_runs()) {
    if (std::find(runs.begin(), runs.end(), run) != runs.end())
      SendTo(address, datagram);
  }
}

bool PeerLink::HandOver(const TokenTransfer& transfer) {
  std::vector<RunId> ranked = Ranked(transfer.program);
  std::erase(ranked, id_);
  if (ranked.empty())
    return false;
  for (const auto& [run, address] : directory_.live_runs()) {
    if (run == ranked.front())
      SendTo(address, PackTransfer(transfer));
  }
  return true;
}

void PeerLink::OnBudgetMessage(const wire::Message::Reader& message) {
  if (message.hasBudgetGive()) {
    auto body = message.getBudgetGive();
    budgets_->OnTokenTransfer({body.getAsk(), message.getSender(),
                               body.getProgram(), body.getTokens(),
                               body.getClaimAccepted(),
                               ReadKnowledge(body.getKnowledge())});
  }
  if (message.hasBudgetCallIn()) {
    auto body = message.getBudgetCallIn();
    budgets_->OnReclaimRequest(
        {body.getCall(), message.getSender(), body.getProgram(),
         body.getTokens(), body.getClaim(), ReadKnowledge(body.getKnowledge())},
        [this, address = AddressText(sender_endpoint_)](
            const TokenTransfer& transfer) {
          SendTo(address, PackTransfer(transfer));
        });
  }
  if (message.hasBudgetRow()) {
    auto body = message.getBudgetRow();
    budgets_->OnRowNotice({body.getProgram(), ReadKnowledge(body).row});
  }
}

}  // namespace vanillalever::forwarding
