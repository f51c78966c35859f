#include "vanillalever/program/commit_resolver.h"

#include <utility>

#include "vanillalever/base/error.h"

namespace vanillalever::program {

CommitResolver::CommitResolver(RecordBatch batch) : batch_(std::move(batch)) {}

void CommitResolver::OnApplied(std::uint64_t version) {
  Require(CommitStep::kSend);
  version_ = version;
  step_ = CommitStep::kApplied;
}

void CommitResolver::OnNoResponse() {
  // A lost read is simply repeated.
  if (step_ == CommitStep::kReadBack)
    return;
  Require(CommitStep::kSend);
  uncertain_ = true;
}

void CommitResolver::OnRefused() {
  if (step_ == CommitStep::kReadBack)
    return;
  Require(CommitStep::kSend);
  if (!uncertain_)
    step_ = CommitStep::kRejected;
}

void CommitResolver::OnConflict(std::string_view key) {
  Require(CommitStep::kSend);
  conflict_ = batch_.FindParty(key);
  step_ = uncertain_ ? CommitStep::kReadBack : CommitStep::kRejected;
}

void CommitResolver::OnReadBack(const std::optional<RowStamp>& row) {
  Require(CommitStep::kReadBack);
  if (!row || row->token != batch_.token()) {
    step_ = CommitStep::kRejected;
    return;
  }
  version_ = row->version;
  conflict_ = ConflictParty();
  step_ = CommitStep::kApplied;
}

void CommitResolver::Require(CommitStep step) const {
  if (step_ == step)
    return;
  throw base::NotRun(
      base::ErrorCode::kInternal, base::Step::kCommit,
      "the commit is at step " + std::string(kCommitStepNames.name(step_)) +
          ", not at " + std::string(kCommitStepNames.name(step)));
}

}  // namespace vanillalever::program
