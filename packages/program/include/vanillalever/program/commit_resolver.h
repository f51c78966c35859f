#ifndef VANILLALEVER_PROGRAM_COMMIT_RESOLVER_H_
#define VANILLALEVER_PROGRAM_COMMIT_RESOLVER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "vanillalever/base/name_table.h"
#include "vanillalever/program/record_batch.h"

namespace vanillalever::program {

// What the commit loop does next with a batch.
enum class CommitStep {
  kSend,      // send batch().plan(), the first time or again
  kReadBack,  // read the row batch().ReadBackKey()
  kApplied,   // the transaction took effect
  kRejected,  // it did not and never will take effect
};

inline constexpr base::NameTable<CommitStep, 4> kCommitStepNames({
    "send",
    "read_back",
    "applied",
    "rejected",
});

// Version and writer of a row as read back.
struct RowStamp {
  std::uint64_t version = 0;
  // Token of the transaction that wrote the row.
  std::string token;
};

// Finds out whether one transaction took effect, although responses may be
// lost: a response that did not come proves nothing, so the same transaction is
// sent again, and a conflict after that is checked against the rows. Each On
// method is called with the outcome of the step that step() named.
class CommitResolver {
 public:
  explicit CommitResolver(RecordBatch batch);

  const RecordBatch& batch() const { return batch_; }
  CommitStep step() const { return step_; }

  // The response says that the transaction was applied with this version.
  void OnApplied(std::uint64_t version);
  // No response came, or one that does not tell whether it was applied.
  void OnNoResponse();
  // The platform refused the request before it had any effect, for example
  // because it is overloaded; ends the commit only if no earlier send may have
  // been applied.
  void OnRefused();
  // A condition on this key failed. Row versions never return, so a copy of
  // the request that is still on its way fails as well.
  void OnConflict(std::string_view key);
  // The row was read back; nothing for an absent row.
  void OnReadBack(const std::optional<RowStamp>& row);

  // Version of the written rows; only after kApplied.
  std::uint64_t version() const { return version_; }
  // Who changed a row; empty after a refusal. Only after kRejected.
  const ConflictParty& conflict() const { return conflict_; }

 private:
  void Require(CommitStep step) const;

  // See the accessors.
  RecordBatch batch_;
  CommitStep step_ = CommitStep::kSend;
  // A send had no response, so that it may have been applied.
  bool uncertain_ = false;
  std::uint64_t version_ = 0;
  ConflictParty conflict_;
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_COMMIT_RESOLVER_H_
