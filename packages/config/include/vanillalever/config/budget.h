#ifndef VANILLALEVER_CONFIG_BUDGET_H_
#define VANILLALEVER_CONFIG_BUDGET_H_

#include <cstdint>
#include <string>

#include "vanillalever/base/name_table.h"

namespace vanillalever::config {

// What a budget limits.
enum class BudgetScope {
  kProgram,       // each program and the sub-agents it starts
  kOrganisation,  // all programs in progress of an organisation together
};

inline constexpr base::NameTable<BudgetScope, 2> kBudgetScopeNames({
    "program",
    "organisation",
});

// Amount that may be spent.
struct Budget {
  std::string name;
  BudgetScope scope = BudgetScope::kProgram;
  // Amount, in tokens.
  std::int64_t tokens = 0;

  bool operator==(const Budget&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_BUDGET_H_
