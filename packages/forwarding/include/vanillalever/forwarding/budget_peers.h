#ifndef VANILLALEVER_FORWARDING_BUDGET_PEERS_H_
#define VANILLALEVER_FORWARDING_BUDGET_PEERS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/forwarding/budget_row.h"

namespace vanillalever::forwarding {

// How the previous gateway process at this address ended.
enum class PreviousExit {
  kUnknown,  // the store has not responded yet
  kClean,    // there was none, or it stopped gracefully
  kFailure,  // it was killed or lost power
};

// What a gateway knows of a program's budget; goes with every message.
struct BudgetKnowledge {
  // Version zero if the sender has not seen the row.
  BudgetRow row;
  // Claims that the sender does not know to be in the row.
  std::vector<BudgetShare> claims;

  bool known() const { return row.version > 0 || !claims.empty(); }
};

// Request for tokens of a program that the receiver's share covers and that it
// does not use.
struct ReclaimRequest {
  // Chosen by the sender; the replies carry it.
  std::uint64_t id = 0;
  // Run of the sender; set by the receiver.
  RunId sender = 0;
  std::string program;
  // Most tokens that one receiver is to transfer.
  std::int64_t tokens = 0;
  // Without the store: tokens that the sender will grant unless a receiver
  // knows the program; zero if it claims none.
  std::int64_t claim = 0;
  BudgetKnowledge knowledge;
};

// Reply to a ReclaimRequest, or tokens that a stopping gateway hands over.
struct TokenTransfer {
  // Id of the request; zero for tokens that are handed over.
  std::uint64_t request = 0;
  // Run that transfers the tokens; set by the receiver.
  RunId sender = 0;
  std::string program;
  std::int64_t tokens = 0;
  // The receiver of a claim knew nothing of the program, and remembers the
  // claim.
  bool claim_accepted = false;
  BudgetKnowledge knowledge;
};

// The row of a program was written.
struct RowNotice {
  std::string program;
  BudgetRow row;
};

// Sends budget messages to the other gateways. Messages may be lost.
class BudgetPeers {
 public:
  virtual ~BudgetPeers() = default;
  // Run of this gateway.
  virtual RunId run() const = 0;
  virtual PreviousExit previous_exit() const = 0;
  // Sends the request to all other live gateways. Returns their number.
  virtual std::size_t Reclaim(const ReclaimRequest& request) = 0;
  // Sends the notice to those of `runs` that are live.
  virtual void Announce(const RowNotice& notice,
                        const std::vector<RunId>& runs) = 0;
  // Hands tokens over to another live gateway. Returns false if there is none.
  virtual bool HandOver(const TokenTransfer& transfer) = 0;
  // Live runs, best first by rendezvous hashing of the program, this gateway
  // included.
  virtual std::vector<RunId> Ranked(const std::string& program) const = 0;
  // Whether the run was heard from lately and is silent now: it may hold tokens
  // and come back.
  virtual bool silent(RunId run) const = 0;
  // Whether the live gateways together know all programs in use, where this
  // gateway knows those that had rows at `listed_at`.
  virtual bool complete(base::TimePoint listed_at) const = 0;
  // Whether no gateway that was heard from lately is silent now. Such a one may
  // be cut off from this gateway, but not from the store, and begin programs
  // after any listing.
  virtual bool all_heard() const = 0;
  // Whether this gateway may be cut off from most others, so that callers are
  // served better elsewhere.
  virtual bool in_minority() const = 0;
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
  virtual void OnReclaimRequest(
      const ReclaimRequest& request,
      std::function<void(const TokenTransfer&)> reply) = 0;
  virtual void OnTokenTransfer(const TokenTransfer& transfer) = 0;
  virtual void OnRowNotice(const RowNotice& notice) = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_PEERS_H_
