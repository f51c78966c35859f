#ifndef VANILLALEVER_FORWARDING_BUDGET_PEERS_H_
#define VANILLALEVER_FORWARDING_BUDGET_PEERS_H_

#include <cstdint>
#include <functional>
#include <string>

namespace vanillalever::forwarding {

// Request for tokens of a program, from an entry that cannot reserve them.
struct BudgetAsk {
  // Identity of the ask at its sender.
  std::uint64_t ask = 0;
  std::string program;
  std::int64_t budget = 0;
  // Tokens that are asked for.
  std::int64_t tokens = 0;
  // Tokens that the sender knows to be reserved.
  std::int64_t reserved = 0;
  // Part of them that was advanced and not durable when the sender last heard.
  std::int64_t advanced = 0;
};

// Call for the tokens of a program that other entries have reserved and do not
// use.
struct BudgetCallIn {
  // Identity of the call at its sender.
  std::uint64_t call = 0;
  std::string program;
  // Tokens that the sender knows to be reserved.
  std::int64_t reserved = 0;
};

// Answer to a BudgetAsk or a BudgetCallIn.
struct BudgetGive {
  // Identity of the ask or the call.
  std::uint64_t ask = 0;
  // Entry that gives; set by the receiver.
  std::uint64_t giver = 0;
  std::string program;
  // Tokens handed over; zero if the budget does not hold them.
  std::int64_t tokens = 0;
  // Tokens that are reserved in all, as far as the sender knows.
  std::int64_t reserved = 0;
  // Part of them that is advanced and not durable.
  std::int64_t advanced = 0;
};

// Who grants tokens of a program while the store is away.
enum class BudgetHome {
  kOther,  // another entry, which has been asked
  kHere,   // this entry
  kNone,   // nobody: this entry hears too few others and may be cut off
};

// Way to the other entries. Messages may be lost.
class BudgetPeers {
 public:
  virtual ~BudgetPeers() = default;
  // Sends the ask to the entry that grants this program's tokens while the
  // store is away, unless that is this entry.
  virtual BudgetHome Ask(const BudgetAsk& ask) = 0;
  // Sends the call to all other entries. Returns whether there are any.
  virtual bool CallIn(const BudgetCallIn& call) = 0;
};

// Receives what other entries say of budgets.
class BudgetHandler {
 public:
  virtual ~BudgetHandler() = default;
  // Another entry asks for tokens; `reply` is called at most once.
  virtual void OnAsk(const BudgetAsk& ask,
                     std::function<void(const BudgetGive&)> reply) = 0;
  virtual void OnGive(const BudgetGive& give) = 0;
  // Another entry calls for unused tokens; `reply` is called at most once.
  virtual void OnCallIn(const BudgetCallIn& call,
                        std::function<void(const BudgetGive&)> reply) = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_PEERS_H_
