#ifndef VANILLALEVER_FORWARDING_BUDGET_ROW_H_
#define VANILLALEVER_FORWARDING_BUDGET_ROW_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalever::forwarding {

// Identifies one run of a gateway process.
using RunId = std::uint64_t;

// Tokens of a program that one run of a gateway may grant.
struct BudgetShare {
  RunId run = 0;
  // Reserved for the run since its entry was added, less what it returned.
  std::int64_t tokens = 0;
  // Includes the tokens that the run claimed while the program had no row.
  bool claimed = false;
};

// Row of the shared table that records a program's reservations.
struct BudgetRow {
  // Most shares that a row keeps: the run of a dropped one can no longer tell
  // whether a write without a response was done.
  static constexpr std::size_t kMaxShares = 16;

  // Tokens reserved for all runs since the program began, less those returned.
  std::int64_t reserved = 0;
  // Version of the row; zero if it does not exist.
  std::uint64_t version = 0;
  // The latest shares; the writer's is the last one.
  std::vector<BudgetShare> shares;

  // Share of the run; null if the row has none.
  const BudgetShare* Find(RunId run) const;
  // Adds `tokens`, which may be negative, to the run's share and to `reserved`,
  // and makes the share the last one. Drops the first shares above the limit.
  void Add(RunId run, std::int64_t tokens, bool claimed);
};

// "<reserved> <run>=<tokens>[!] ...", runs in hexadecimal, "!" for claimed.
std::string EncodeBudgetRow(const BudgetRow& row);
// Skips parts that it cannot read, so that rows of earlier releases have no
// shares.
BudgetRow ParseBudgetRow(std::string_view text, std::uint64_t version);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_BUDGET_ROW_H_
