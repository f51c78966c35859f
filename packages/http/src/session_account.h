#ifndef VANILLALEVER_HTTP_SRC_SESSION_ACCOUNT_H_
#define VANILLALEVER_HTTP_SRC_SESSION_ACCOUNT_H_

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>

#include "vanillalever/base/clock.h"
#include "vanillalever/memory/account.h"

namespace vanillalever::http {

// Account of what the sessions of a server hold. Thread-safe; holders are
// called with the lock held.
class SessionAccount {
 public:
  explicit SessionAccount(const memory::AccountSettings& settings);

  void Join(std::optional<memory::Holding>& holding, memory::Holder& holder);
  void Leave(std::optional<memory::Holding>& holding);
  // Returns false if the holder was ended.
  bool Set(memory::Holding& holding,
           memory::Purpose purpose,
           std::size_t bytes,
           base::TimePoint now);
  bool MustWait(memory::Holding& holding);
  // Returns whether to call it again: some holder still waits.
  bool Tick(base::TimePoint now);

 private:
  // Requires the lock.
  void LogEnded();

  std::mutex mutex_;
  std::shared_ptr<memory::Account> account_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_SESSION_ACCOUNT_H_
