#include "acknowledger.h"

#include <utility>

namespace vanillalever::entry {
namespace {

constexpr base::Duration kTimeout = base::seconds(2);

}  // namespace

void Acknowledger::Add(const std::string& address,
                       const std::string& incarnation,
                       const std::string& work_token) {
  std::lock_guard lock(mutex_);
  Pending& pending = pending_[address];
  // Another run of the sidecar holds nothing of the former one.
  if (std::exchange(pending.incarnation, incarnation) != incarnation)
    pending.tokens.clear();
  if (pending.tokens.size() < kMaxTokens)
    pending.tokens.insert(work_token);
}

void Acknowledger::Flush() {
  std::map<std::string, std::vector<std::string>> due;
  {
    std::lock_guard lock(mutex_);
    for (auto& [address, pending] : pending_) {
      if (pending.sending || pending.tokens.empty())
        continue;
      pending.sending = true;
      due[address] = {pending.tokens.begin(), pending.tokens.end()};
    }
  }
  for (const auto& entry : due)
    Send(entry.first, entry.second);
}

void Acknowledger::Send(const std::string& address,
                        const std::vector<std::string>& tokens) {
  auto client = servers_.Client(address);
  if (!client)
    return;
  client->Acknowledge(tokens, kTimeout,
                      [this, address, tokens](
                          const protocol::Outcome<protocol::Empty>& outcome) {
                        std::lock_guard lock(mutex_);
                        Pending& pending = pending_[address];
                        pending.sending = false;
                        if (outcome.error)
                          return;
                        for (const std::string& token : tokens)
                          pending.tokens.erase(token);
                      });
}

}  // namespace vanillalever::entry
