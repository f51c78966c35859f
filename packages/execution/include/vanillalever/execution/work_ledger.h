#ifndef VANILLALEVER_EXECUTION_WORK_LEDGER_H_
#define VANILLALEVER_EXECUTION_WORK_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "vanillalever/base/error.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::execution {

// Limits of a sidecar's ledger; together they keep it below about 32 MB.
struct WorkLedgerSettings {
  // Maximum work items queued or running.
  std::size_t max_open = 4096;
  // Maximum work items that are open or whose result is not acknowledged.
  std::size_t max_results = 8192;
  // Maximum bytes of such results. Results of work that was accepted before the
  // limit was reached may exceed it.
  std::size_t max_result_bytes = std::size_t{16} << 20;
  // Maximum closed tokens of non-repeatable work, about 64 bytes each. They are
  // kept until their shard has a new owner.
  std::size_t max_closed = 131072;
  // Maximum closed tokens of repeatable work. Beyond it the oldest is
  // discarded: such work may safely run again.
  std::size_t max_closed_repeatable = 65536;
};

// Identifies the work that a command refers to.
struct WorkKey {
  // Work token, unique per attempt. It is sent for execution only under the
  // fencing token under which it was created.
  std::string token;
  // Incarnation of the sidecar that the work was sent to.
  std::string incarnation;
  // Shard of the program and the sender's fencing token for it.
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
  bool repeatable = true;
};

// Outcome of work that ended.
struct WorkResult {
  // Set if the work failed; its `ran` tells whether the backend executed it.
  std::optional<base::ErrorInfo> error;
  std::string body;
  // Generated tokens as counted by the backend.
  std::uint64_t tokens = 0;
  // Prompt tokens, and how many of them were in the engine's prefix cache.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

// Decision on arriving work.
enum class Admission {
  kAccepted,          // queued
  kOpen,              // already queued or running: wait for its result
  kDone,              // already ran: reply with the retained result
  kRevoked,           // revoked earlier: refuse as not run
  kClosed,            // ran, and its result was acknowledged: do not run
  kOtherIncarnation,  // for another incarnation of the sidecar: not run here
  kStaleFence,        // the shard has a newer owner: not run
  kFull,              // a limit is reached: refuse as not run
};

inline constexpr base::NameTable<Admission, 8> kAdmissionNames({
    "accepted",
    "open",
    "done",
    "revoked",
    "closed",
    "other_incarnation",
    "stale_fence",
    "full",
});

// Outcome of a settle or cancel command.
enum class Settlement {
  kDone,              // ran; the result is retained
  kRunning,           // queued or running: query again
  kRevoked,           // never ran and never will: proof of "not run"
  kClosed,            // ran, and its result was acknowledged
  kOtherIncarnation,  // for another incarnation of the sidecar: proves nothing
  kStaleFence,        // the sender no longer owns the shard
  kFull,              // no room to record the revocation: query again
};

inline constexpr base::NameTable<Settlement, 7> kSettlementNames({
    "done",
    "running",
    "revoked",
    "closed",
    "other_incarnation",
    "stale_fence",
    "full",
});

// The sidecar's record of the work it was sent. A token runs at most once, and
// only if it was sent to the current incarnation of the sidecar. Not
// thread-safe.
class WorkLedger {
 public:
  WorkLedger(std::string incarnation, WorkLedgerSettings settings);

  const std::string& incarnation() const { return incarnation_; }

  // Decides on arriving work and queues it if it may run.
  Admission Admit(const WorkKey& key);

  // Marks queued work as running, before it is sent to the backend. Returns
  // false if it was revoked meanwhile; it must then not be sent.
  bool Start(const std::string& token);

  // Records the end of running work; the result is retained until acknowledged.
  // Returns false if the token is not running.
  bool Finish(const std::string& token, WorkResult result);

  // Closes queued work as not run, for example because its deadline has passed.
  // Returns false if the token is not queued.
  bool Refuse(const std::string& token);

  // Settles the outcome for the current owner of the shard: done, running, or
  // permanently revoked if the token was never received.
  Settlement Settle(const WorkKey& key);

  // As Settle(), but also revokes queued work. If the work is running, the
  // caller stops it on the backend and then calls Finish().
  Settlement Cancel(const WorkKey& key);

  // Returns the retained result, or null.
  const WorkResult* Result(const std::string& token) const;

  // Drops a result that the owner has made durable, and closes the token. Has
  // no effect on work that is not done. Idempotent.
  void Acknowledge(const std::string& token);

  // Drops the results that previous owners of the shard did not acknowledge. To
  // be called after the owner with this fencing token has settled all open
  // intents. Has no effect if the fencing token is stale.
  void AcknowledgePreviousOwners(std::uint32_t shard, std::uint64_t fence);

  // Work items queued or running.
  std::size_t open() const { return open_; }
  // Results whose acknowledgement is still expected. Excludes repeatable work
  // of previous owners, because no other process knows its tokens.
  std::size_t unacknowledged() const;
  // Total bytes of the retained results.
  std::size_t result_bytes() const { return result_bytes_; }
  // Closed tokens of non-repeatable work.
  std::size_t closed() const { return closed_; }

 private:
  enum class State { kQueued, kRunning, kDone };

  struct WorkItem {
    WorkKey key;
    State state = State::kQueued;
    WorkResult result;
  };

  // 128-bit hash of a token. On a collision the second token is refused, and
  // the caller may retry with a new token.
  using Digest = std::pair<std::uint64_t, std::uint64_t>;
  struct DigestHash {
    std::size_t operator()(const Digest& digest) const { return digest.first; }
  };
  struct ClosedToken {
    bool ran = false;
    bool repeatable = false;
  };
  struct Shard {
    std::uint64_t fence = 0;
    // Tokens closed under the current fencing token. Commands with an older
    // fencing token are refused, so that their tokens need not be kept.
    std::unordered_map<Digest, ClosedToken, DigestHash> closed;
  };

  static Digest DigestOf(const std::string& token);

  // Returns false if the fencing token is stale. A higher one than before
  // replaces it and discards the closed tokens of the previous owner.
  bool AcceptFence(const WorkKey& key);
  Settlement SettleOrCancel(const WorkKey& key, bool revoke_queued);
  // Whether the work is repeatable and of a previous owner of its shard.
  bool IsSuperseded(const WorkItem& work) const;
  // Whether one more work item is within the limits. Drops superseded results
  // if needed.
  bool HasCapacity(bool repeatable);
  void DropSupersededResults();
  void CloseToken(const WorkKey& key, bool ran);
  void EraseWorkItem(std::map<std::string, WorkItem>::iterator it);

  const std::string incarnation_;
  const WorkLedgerSettings settings_;
  // Work that is queued, running, or done but not acknowledged, by token.
  std::map<std::string, WorkItem> work_items_;
  std::map<std::uint32_t, Shard> shards_;
  // Closed tokens of repeatable work with their shard, oldest first.
  std::deque<std::pair<std::uint32_t, Digest>> closed_repeatable_;
  std::size_t open_ = 0;
  std::size_t result_bytes_ = 0;
  std::size_t closed_ = 0;
};

}  // namespace vanillalever::execution

#endif  // VANILLALEVER_EXECUTION_WORK_LEDGER_H_
