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

// Bounds of a sidecar's ledger; together they keep it under about 32 MB.
struct WorkLedgerSettings {
  // Most work that is queued or running.
  std::size_t max_open = 4096;
  // Most work that is open or has a result that waits for its acknowledgement.
  std::size_t max_results = 8192;
  // Most bytes of such results. Work in flight when the bound is reached may
  // exceed it by its own results.
  std::size_t max_result_bytes = std::size_t{16} << 20;
  // Most closed tokens of non-repeatable work, about 64 bytes each. They are
  // kept until their shard has a new owner.
  std::size_t max_closed = 131072;
  // Most closed tokens of repeatable work; beyond it the oldest is forgotten,
  // because running such work again does no harm.
  std::size_t max_closed_repeatable = 65536;
};

// What a command says about the work it concerns.
struct WorkKey {
  // Work token: unique per attempt. It is only ever sent for execution under
  // the fencing token that it was made under.
  std::string token;
  // Incarnation of the sidecar that the work was sent to.
  std::string incarnation;
  // Shard of the program and the sender's fencing token for it.
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
  bool repeatable = true;
};

// How work ended.
struct WorkResult {
  // Set when the work failed; its `ran` says whether the backend did it.
  std::optional<base::ErrorInfo> error;
  std::string body;
  // Generated tokens, as counted by the backend.
  std::uint64_t tokens = 0;
  // Prompt tokens, and those of them found in the engine's prefix cache.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

// Judgement of work that arrives.
enum class Admission {
  kAccepted,          // queued now
  kOpen,              // the token is queued or running: wait for its result
  kDone,              // ran before: answer with the retained result
  kRevoked,           // revoked before: refuse as not run
  kClosed,            // ran, and its result was acknowledged: do not run
  kOtherIncarnation,  // names another run of the sidecar: not run by this one
  kStaleFence,        // the shard has a newer owner: not run now
  kFull,              // at a bound: refuse as not run
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
  kDone,              // ran: the result is retained
  kRunning,           // queued or running: ask again
  kRevoked,           // never ran and never will: proof of "not run"
  kClosed,            // ran, and its result was acknowledged
  kOtherIncarnation,  // names another run of the sidecar: proves nothing
  kStaleFence,        // the sender no longer owns the shard
  kFull,              // the revocation cannot be remembered: ask again
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

// The sidecar's record of what it was asked to run. A token runs at most once,
// and only if it names the present incarnation of the sidecar. Not
// thread-safe.
class WorkLedger {
 public:
  WorkLedger(std::string incarnation, WorkLedgerSettings settings);

  const std::string& incarnation() const { return incarnation_; }

  // Judges arriving work; queues it if it may run.
  Admission Admit(const WorkKey& key);

  // Queued work is about to be sent to the backend. Returns false when it was
  // revoked meanwhile; it must then not be sent.
  bool Start(const std::string& token);

  // Running work ended; its result is retained until acknowledged. Returns
  // false when the token is not running.
  bool Finish(const std::string& token, WorkResult result);

  // Queued work is refused without having run, for example because its
  // deadline passed. Returns false when the token is not queued.
  bool Refuse(const std::string& token);

  // Settles the outcome for the present owner of the shard: done, running, or
  // revoked for good when the token was never received.
  Settlement Settle(const WorkKey& key);

  // As Settle(), but also revokes queued work. For running work the caller
  // stops the backend and then calls Finish().
  Settlement Cancel(const WorkKey& key);

  // The retained result, or null.
  const WorkResult* Result(const std::string& token) const;

  // The owner has made the result durable: drops it and remembers the token.
  // Has no effect on work that is not done. May be repeated.
  void Acknowledge(const std::string& token);

  // A new owner has taken the shard over with this fencing token and settled
  // all its open intents: drops what former owners left unacknowledged. Has no
  // effect under a stale token.
  void AcknowledgePreviousOwners(std::uint32_t shard, std::uint64_t fence);

  // Work that is queued or running.
  std::size_t open() const { return open_; }
  // Results whose acknowledgement is still expected. Repeatable work of a
  // former owner is left out, because no one else knows its tokens.
  std::size_t unacknowledged() const;
  // Bytes of all retained results.
  std::size_t result_bytes() const { return result_bytes_; }
  // Closed tokens of non-repeatable work.
  std::size_t closed() const { return closed_; }

 private:
  enum class State { kQueued, kRunning, kDone };

  struct Work {
    WorkKey key;
    State state = State::kQueued;
    WorkResult result;
  };

  // 128-bit hash of a token. Two tokens with the same hash would make the
  // second one refused, which the caller may retry with a new token.
  using Digest = std::pair<std::uint64_t, std::uint64_t>;
  struct DigestHash {
    std::size_t operator()(const Digest& digest) const { return digest.first; }
  };
  struct Closed {
    bool ran = false;
    bool repeatable = false;
  };
  struct Shard {
    std::uint64_t fence = 0;
    // Closed tokens since the shard has its present fencing token. Commands
    // with older ones are refused, so their tokens need not be remembered.
    std::unordered_map<Digest, Closed, DigestHash> closed;
  };

  static Digest DigestOf(const std::string& token);

  // Judges the fencing token; a higher one than before forgets the closed
  // tokens of the former owner.
  bool AcceptFence(const WorkKey& key);
  Settlement Decide(const WorkKey& key, bool revoke_queued);
  bool Superseded(const Work& work) const;
  // Whether there is room for one more piece of work.
  bool HasRoom(bool repeatable);
  // Drops results of repeatable work of former owners.
  void DropSuperseded();
  void Close(const WorkKey& key, bool ran);
  void Erase(std::map<std::string, Work>::iterator it);

  const std::string incarnation_;
  const WorkLedgerSettings settings_;
  // Work that is queued, running, or done and not acknowledged, by token.
  std::map<std::string, Work> works_;
  std::map<std::uint32_t, Shard> shards_;
  // Closed tokens of repeatable work, oldest first, with their shard.
  std::deque<std::pair<std::uint32_t, Digest>> closed_repeatable_;
  std::size_t open_ = 0;
  std::size_t result_bytes_ = 0;
  std::size_t closed_ = 0;
};

}  // namespace vanillalever::execution

#endif  // VANILLALEVER_EXECUTION_WORK_LEDGER_H_
