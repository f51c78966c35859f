#include "session_account.h"

#include <string>

#include "vanillalever/base/logging.h"

namespace vanillalever::http {

SessionAccount::SessionAccount(const memory::AccountSettings& settings)
    : account_(std::make_shared<memory::Account>(settings)) {}

void SessionAccount::Join(std::optional<memory::Holding>& holding,
                          memory::Holder& holder) {
  std::lock_guard lock(mutex_);
  holding.emplace(account_, holder);
}

void SessionAccount::Leave(std::optional<memory::Holding>& holding) {
  std::lock_guard lock(mutex_);
  holding.reset();
}

bool SessionAccount::Set(memory::Holding& holding,
                         memory::Purpose purpose,
                         std::size_t bytes,
                         base::TimePoint now) {
  std::lock_guard lock(mutex_);
  holding.Set(purpose, bytes, now);
  LogEnded();
  return !holding.ended();
}

bool SessionAccount::MustWait(memory::Holding& holding) {
  std::lock_guard lock(mutex_);
  return holding.must_wait();
}

bool SessionAccount::Tick(base::TimePoint now) {
  std::lock_guard lock(mutex_);
  account_->Tick(now);
  LogEnded();
  return account_->any_slowed();
}

void SessionAccount::LogEnded() {
  for (memory::Purpose purpose :
       {memory::Purpose::kRequest, memory::Purpose::kResponse}) {
    memory::Account::Ended ended = account_->TakeEnded(purpose);
    if (ended.holders == 0)
      continue;
    base::LogEvent(
        base::LogLevel::kWarning, "clients_ended",
        {{"purpose", std::string(memory::kPurposeNames.name(purpose))},
         {"clients", std::to_string(ended.holders)},
         {"bytes", std::to_string(ended.bytes)},
         {"largest_bytes", std::to_string(ended.largest_bytes)},
         {"held_bytes", std::to_string(account_->held())}});
  }
}

}  // namespace vanillalever::http
