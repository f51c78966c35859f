#include "vanillalever/platform/transaction.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "vanillalever/base/error.h"

namespace vanillalever::platform {
namespace {

void Require(bool ok, const std::string& message) {
  if (!ok)
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kStore, message);
}

}  // namespace

void ValidateTransaction(const Transaction& transaction) {
  Require(!transaction.token.empty(), "transaction without a token");
  Require(
      std::none_of(transaction.conditions.begin(), transaction.conditions.end(),
                   [](const Condition& c) { return c.key.empty(); }),
      "condition without a key");
  std::set<std::string_view> written;
  for (const RowWrite& write : transaction.writes) {
    Require(!write.key.empty(), "write without a key");
    Require(written.insert(write.key).second,
            "two writes to the key '" + write.key + "' in one transaction");
  }
}

}  // namespace vanillalever::platform
