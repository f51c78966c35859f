#ifndef VANILLALEVER_ENTRY_SRC_SETTLER_H_
#define VANILLALEVER_ENTRY_SRC_SETTLER_H_

#include <utility>

#include <functional>

#include <boost/asio/io_context.hpp>

#include "server_directory.h"
#include "vanillalever/program/attempt.h"

namespace vanillalever::entry {

// What became of an attempt whose reply was lost.
enum class SettleKind {
  kResult,     // it ran; `result` is what the backend server answered
  kNotRun,     // it never ran and never will
  kLost,       // nobody will ever know
  kShardLost,  // the shard has a newer owner, who settles it
};

struct SettleOutcome {
  SettleKind kind = SettleKind::kLost;
  protocol::ExecuteResult result;
};

// Asks sidecars about attempts until the outcome is certain, the sidecar's
// incarnation is gone, or time is up. Thread-safe.
class Settler {
 public:
  using Callback = std::function<void(SettleOutcome outcome)>;

  Settler(boost::asio::io_context& context, ServerDirectory& servers)
      : context_(context), servers_(servers) {}

  // `fence` is the present fencing token of the shard. `callback` is called
  // once, on any thread.
  void Settle(const program::Attempt& attempt,
              std::uint32_t shard,
              std::uint64_t fence,
              base::TimePoint end,
              Callback callback);

 private:
  boost::asio::io_context& context_;
  ServerDirectory& servers_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_SETTLER_H_
