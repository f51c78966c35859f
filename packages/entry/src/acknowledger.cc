#include "acknowledger.h"

#include <utility>

namespace vanillalever::entry {
namespace {

constexpr base::Duration kAcknowledgeTimeout = base::seconds(2);

}  // namespace

void Acknowledger::Add(const std::string& address,
                       const std::string& incarnation,
                       const std::string& work_token) {
  std::lock_guard lock(mutex_);
  Pending& pending = pending_[address];
  // A new incarnation of the sidecar holds no results of the previous one.
  if (std::exchange(pending.incarnation, incarnation) != incarnation)
    pending.tokens.clear();
  if (pending.tokens.size() < kMaxPendingTokens)
    pending.tokens.insert(work_token);
}

void Acknowledger::Flush() {
  std::map<std::string, std::vector<std::string>> batches;
  {
    std::lock_guard lock(mutex_);
    for (auto& [address, pending] : pending_) {
      if (pending.request_in_flight || pending.tokens.empty())
        continue;
      pending.request_in_flight = true;
      batches[address] = {pending.tokens.begin(), pending.tokens.end()};
    }
  }
  for (const auto& entry : batches)
    Send(entry.first, entry.second);
}

void Acknowledger::Send(const std::string& address,
                        const std::vector<std::string>& tokens) {
  auto client = servers_.ClientFor(address);
  if (!client)
    return;
  client->Acknowledge(tokens, kAcknowledgeTimeout,
                      [this, address, tokens](
                          const protocol::Outcome<protocol::Empty>& outcome) {
                        std::lock_guard lock(mutex_);
                        Pending& pending = pending_[address];
                        pending.request_in_flight = false;
                        if (outcome.error)
                          return;
                        for (const std::string& token : tokens)
                          pending.tokens.erase(token);
                      });
}

}  // namespace vanillalever::entry
