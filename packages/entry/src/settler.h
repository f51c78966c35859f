#ifndef VANILLALEVER_ENTRY_SRC_SETTLER_H_
#define VANILLALEVER_ENTRY_SRC_SETTLER_H_

#include <utility>

#include <functional>

#include <boost/asio/io_context.hpp>

#include "server_directory.h"
#include "vanillalever/program/attempt.h"

namespace vanillalever::entry {

// Outcome of an attempt whose reply was lost.
enum class SettleKind {
  kResult,     // it ran; `result` holds the backend server's answer
  kNotRun,     // it never ran and never will
  kUnknown,    // the outcome cannot be determined
  kShardLost,  // the shard has a newer owner, which settles it
};

struct SettleOutcome {
  SettleKind kind = SettleKind::kUnknown;
  protocol::ExecuteResult result;
};

// Queries sidecars about attempts until the outcome is certain, the sidecar's
// incarnation has ended, or the time limit is reached. Thread-safe.
class Settler {
 public:
  using Callback = std::function<void(SettleOutcome outcome)>;

  Settler(boost::asio::io_context& context, ServerDirectory& servers)
      : context_(context), servers_(servers) {}

  // `fence` is the shard's current fencing token. Gives up at `give_up_at` with
  // kUnknown. `callback` is called once, on any thread.
  void Settle(const program::Attempt& attempt,
              std::uint32_t shard,
              std::uint64_t fence,
              base::TimePoint give_up_at,
              Callback callback);

 private:
  boost::asio::io_context& context_;
  ServerDirectory& servers_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_SETTLER_H_
