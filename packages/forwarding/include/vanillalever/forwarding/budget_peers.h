#ifndef VANILLALEVER_FORWARDING_BUDGET_PEERS_H_
#define VANILLALEVER_FORWARDING_BUDGET_PEERS_H_

#include <cstdint>
#include <functional>
#include <string>

namespace vanillalever::forwarding {

// Request for tokens of a program, from a gateway that cannot reserve them in
// the store.
struct TokenRequest {
  // Chosen by the sender; the reply carries it.
  std::uint64_t id = 0;
  std::string program;
  std::int64_t budget = 0;
  // Tokens requested.
  std::int64_t tokens = 0;
  // Total tokens reserved, as far as the sender knows.
  std::int64_t reserved = 0;
  // Part of `reserved` that was granted provisionally and not yet committed,
  // by the last message the sender received.
  std::int64_t provisional = 0;
};

// Request to release the tokens of a program that the receiver has reserved and
// does not use.
struct ReclaimRequest {
  // Chosen by the sender; the replies carry it.
  std::uint64_t id = 0;
  std::string program;
  // Total tokens reserved, as far as the sender knows.
  std::int64_t reserved = 0;
};

// Reply to a TokenRequest or a ReclaimRequest.
struct TokenTransfer {
  // Id of the request.
  std::uint64_t request = 0;
  // Gateway that transfers the tokens; set by the receiver.
  std::uint64_t sender = 0;
  std::string program;
  // Tokens transferred; zero if the budget is too small for the request.
  std::int64_t tokens = 0;
  // Total tokens reserved, as far as the sender knows.
  std::int64_t reserved = 0;
  // Part of `reserved` that is granted provisionally and not yet committed.
  std::int64_t provisional = 0;
};

// Gateway that grants a program's tokens while the store is unavailable.
enum class BudgetCoordinator {
  kPeer,   // another gateway; the request has been sent to it
  kLocal,  // this gateway
  kNone,   // none: too few peers are reachable, this gateway may be partitioned
};

// Sends budget messages to the other gateways. Messages may be lost.
class BudgetPeers {
 public:
  virtual ~BudgetPeers() = default;
  // Sends the request to the program's coordinator unless that is this gateway.
  virtual BudgetCoordinator RequestTokens(const TokenRequest& request) = 0;
  // Sends the request to all other gateways. Returns whether there are any.
  virtual bool ReclaimUnused(const ReclaimRequest& request) = 0;
  // Whether the store responds to this gateway.
  virtual bool reaches_store() const = 0;
  // Whether neither this gateway nor any other live one reaches the store, as
  // all of them have announced.
  virtual bool store_lost() const = 0;
};

// Handles budget messages from other gateways.
class BudgetHandler {
 public:
  virtual ~BudgetHandler() = default;
  // `reply` is called at most once.
  virtual void OnTokenRequest(
      const TokenRequest& request,
      std::function<void(const TokenTransfer&)> reply) = 0;
  virtual void OnTokenTransfer(const TokenTransfer& transfer) = 0;
  // `reply` is called at most once.
  virtual void OnReclaimRequest(
      const ReclaimRequest& request,
      std::function<void(const TokenTransfer&)> reply) = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_PEERS_H_
