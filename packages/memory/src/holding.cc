#include "vanillalever/memory/holding.h"

#include <utility>

#include "vanillalever/memory/account.h"

namespace vanillalever::memory {

Holding::Holding(std::shared_ptr<Account> account, Holder& holder)
    : account_(std::move(account)), holder_(holder) {
  account_->Join(*this);
}

Holding::~Holding() {
  account_->Leave(*this);
}

void Holding::Set(Purpose purpose, std::size_t bytes, base::TimePoint now) {
  if (bytes != part(purpose).bytes)
    account_->Set(*this, purpose, bytes, now);
}

bool Holding::must_wait() {
  return ended_ || account_->MustWait(*this);
}

}  // namespace vanillalever::memory
