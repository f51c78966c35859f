#include "vanillalever/program/program_shard.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "vanillalever/base/error.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::program {

namespace {

using base::ErrorCode;
using base::NotRunError;
using base::Step;

// Maximum length of the caller's key.
constexpr std::size_t kMaxKeyBytes = 256;
// Children are accepted again after the next commit.
constexpr base::milliseconds kTooManyChildrenRetryAfter{50};

void CheckRequest(const CreateRequest& request) {
  // ProgramCodec checks the id of a row against these strings, so a row must
  // store them unchanged.
  bool text_ok = ProgramCodec::IsStorable(request.key) &&
                 ProgramCodec::IsStorable(request.organisation) &&
                 ProgramCodec::IsStorable(request.program_class);
  bool key_ok = !request.key.empty() && request.key.size() <= kMaxKeyBytes;
  if (!text_ok || !key_ok || request.budget <= 0 ||
      request.incarnation.empty()) {
    throw NotRunError(
        ErrorCode::kInvalidRequest, Step::kAdmit,
        "a program needs a key of 1 to " + std::to_string(kMaxKeyBytes) +
            " bytes in UTF-8, a budget above zero and an incarnation");
  }
}

}  // namespace

ProgramShard::ProgramShard(const ShardCondition& condition,
                           std::uint64_t fence,
                           const ProgramShardSettings& settings)
    : condition_(condition), fence_(fence), settings_(settings) {}

ProgramId ProgramShard::IdFor(const CreateRequest& request) {
  return request.parent.empty()
             ? ProgramId::ForRoot(request.organisation, request.key)
             : ProgramId::ForChild(request.parent, request.organisation,
                                   request.key);
}

CreateResult ProgramShard::Create(const CreateRequest& request,
                                  base::TimePoint now) {
  CheckRequest(request);
  ProgramId id = IdFor(request);
  std::lock_guard lock(mutex_);
  RequireOwned();
  if (id.shard() != shard()) {
    throw NotRunError(
        ErrorCode::kNotOwner, Step::kAdmit,
        "program " + id.text() + " is not in shard " + std::to_string(shard()));
  }
  if (const Program* existing = Find(id))
    return RepeatCreate(*existing, request);
  if (!request.parent.empty())
    CreateChild(request, id);
  ProgramSpec spec{id,
                   request.incarnation,
                   request.organisation,
                   request.program_class,
                   request.parent,
                   request.key,
                   request.budget};
  auto program = std::make_unique<Program>(std::move(spec), now,
                                           settings_.first_allowance);
  Program& created = *program;
  programs_.emplace(id, std::move(program));
  AfterChange(created);
  return {id, true, created.revision()};
}

CreateResult ProgramShard::RepeatCreate(const Program& program,
                                        const CreateRequest& request) const {
  const ProgramSpec& spec = program.spec();
  bool same = spec.program_class == request.program_class &&
              spec.parent == request.parent &&
              (request.default_budget || spec.budget == request.budget) &&
              spec.organisation == request.organisation &&
              spec.key == request.key;
  if (!same) {
    throw NotRunError(
        ErrorCode::kConflict, Step::kAdmit,
        "the key was used for a program with another class, parent or "
        "budget");
  }
  // The creation itself is revision 1.
  return {program.id(), false, 1};
}

void ProgramShard::CreateChild(const CreateRequest& request,
                               const ProgramId& id) {
  Program& parent = Require(request.parent);
  if (parent.spec().organisation != request.organisation) {
    throw NotRunError(ErrorCode::kForbidden, Step::kAdmit,
                      "the parent belongs to another organisation");
  }
  if (CommitGroup(parent.id()).size() >= settings_.max_linked_programs) {
    base::ErrorInfo info;
    info.code = ErrorCode::kOverloaded;
    info.step = Step::kAdmit;
    info.message = "too many sub-agents were created since the last commit";
    info.retry_after = kTooManyChildrenRetryAfter;
    throw base::Error(std::move(info));
  }
  parent.AddChild(id, request.budget);
  AddLink(parent.id(), id);
  Enqueue(parent);
}

void ProgramShard::Insert(Program program) {
  std::lock_guard lock(mutex_);
  RequireOwned();
  ProgramId id = program.id();
  if (id.shard() != shard() || Find(id) != nullptr) {
    throw NotRunError(ErrorCode::kInternal, Step::kStore,
                      "program " + id.text() + " cannot be inserted");
  }
  programs_.emplace(id, std::make_unique<Program>(std::move(program)));
}

std::vector<ProgramAttempt> ProgramShard::FinishRecovery() {
  std::vector<ProgramId> all = ids();
  std::lock_guard lock(mutex_);
  RequireOwned();
  std::vector<ProgramAttempt> unused_attempts;
  for (const ProgramId& id : all) {
    if (Program& program = Require(id);
        program.state() == ProgramState::kCancelled)
      CancelTree(program, unused_attempts);
  }
  std::vector<ProgramAttempt> intents;
  for (const ProgramId& id : all) {
    Program& program = Require(id);
    AfterChange(program);
    for (Attempt& attempt : program.open_intents())
      intents.push_back({id, std::move(attempt)});
  }
  return intents;
}

AnswerMatch ProgramShard::Accept(const ProgramId& id,
                                 const AttemptKey& key,
                                 Answer answer) {
  std::lock_guard lock(mutex_);
  RequireOwned();
  Program* program = Find(id);
  if (program == nullptr) {
    ++dropped_answers_;
    return AnswerMatch::kDropped;
  }
  AnswerMatch match = program->Accept(key, std::move(answer));
  AfterChange(*program);
  return match;
}

std::vector<ProgramAttempt> ProgramShard::Cancel(const ProgramId& id) {
  std::lock_guard lock(mutex_);
  std::vector<ProgramAttempt> attempts;
  CancelTree(Require(id), attempts);
  return attempts;
}

void ProgramShard::CancelTree(Program& program,
                              std::vector<ProgramAttempt>& attempts) {
  // A copy, because AfterChange() of a child modifies the parent's children.
  std::vector<ProgramId> children;
  for (const auto& [child, share] : program.children())
    children.push_back(child);
  for (Attempt& attempt : program.Cancel())
    attempts.push_back({program.id(), std::move(attempt)});
  for (const ProgramId& child : children) {
    if (Program* found = Find(child))
      CancelTree(*found, attempts);
  }
  AfterChange(program);
}

std::size_t ProgramShard::Collect(RecordBatch& batch, base::TimePoint now) {
  std::lock_guard lock(mutex_);
  RequireOwned();
  std::size_t added = 0;
  std::deque<ProgramId> postponed;
  while (!commit_queue_.empty()) {
    ProgramId id = std::move(commit_queue_.front());
    commit_queue_.pop_front();
    const Program* program = Find(id);
    if (program == nullptr || (!program->dirty() && !program->committing())) {
      queued_.erase(id);
      continue;
    }
    std::set<ProgramId> group = CommitGroup(id);
    bool committing = std::any_of(
        group.begin(), group.end(),
        [this](const ProgramId& member) { return Find(member)->committing(); });
    if (committing) {
      postponed.push_back(std::move(id));
      continue;
    }
    if (!AddGroup(batch, group, now)) {
      commit_queue_.push_front(std::move(id));
      break;
    }
    queued_.erase(id);
    added += group.size();
  }
  commit_queue_.insert(commit_queue_.begin(),
                       std::make_move_iterator(postponed.begin()),
                       std::make_move_iterator(postponed.end()));
  return added;
}

bool ProgramShard::AddGroup(RecordBatch& batch,
                            const std::set<ProgramId>& group,
                            base::TimePoint now) {
  std::vector<ProgramChange> changes;
  changes.reserve(group.size());
  for (const ProgramId& id : group)
    changes.push_back(ProgramCodec::EncodeChange(Find(id)->BeginCommit(now)));
  if (!batch.Add(condition_, changes)) {
    for (const ProgramId& id : group)
      Find(id)->CommitRejected();
    return false;
  }
  for (const ProgramId& id : group) {
    auto first = links_.lower_bound({id, ProgramId()});
    while (first != links_.end() && first->first == id)
      pending_links_.insert(links_.extract(first++));
  }
  return true;
}

std::vector<ProgramId> ProgramShard::CommitApplied(const RecordBatch& batch,
                                                   std::uint64_t version) {
  std::lock_guard lock(mutex_);
  RequireOwned();
  std::vector<ProgramId> applied;
  for (const ProgramId& id : batch.programs(shard())) {
    Program* program = Find(id);
    if (program == nullptr)
      continue;
    program->CommitApplied(version);
    program->TrimHistory(settings_.history_turns);
    auto first = pending_links_.lower_bound({id, ProgramId()});
    while (first != pending_links_.end() && first->first == id)
      first = pending_links_.erase(first);
    Enqueue(*program);
    applied.push_back(id);
  }
  for (const ProgramId& id : std::exchange(deferred_returns_, {})) {
    if (Program* program = Find(id))
      AfterChange(*program);
  }
  return applied;
}

void ProgramShard::CommitRejected(const RecordBatch& batch) {
  std::lock_guard lock(mutex_);
  if (dropped_)
    return;
  for (const ProgramId& id : batch.programs(shard())) {
    Program* program = Find(id);
    if (program == nullptr)
      continue;
    program->CommitRejected();
    auto first = pending_links_.lower_bound({id, ProgramId()});
    while (first != pending_links_.end() && first->first == id)
      links_.insert(pending_links_.extract(first++));
    Enqueue(*program);
  }
}

std::size_t ProgramShard::changed() const {
  std::lock_guard lock(mutex_);
  return commit_queue_.size();
}

std::vector<ProgramId> ProgramShard::ids() const {
  std::lock_guard lock(mutex_);
  std::vector<ProgramId> ids;
  ids.reserve(programs_.size());
  for (const auto& [id, program] : programs_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::size_t ProgramShard::size() const {
  std::lock_guard lock(mutex_);
  return programs_.size();
}

std::vector<std::pair<ProgramId, CacheHolder>> ProgramShard::PendingReleases()
    const {
  std::vector<std::pair<ProgramId, CacheHolder>> releases;
  std::lock_guard lock(mutex_);
  RequireOwned();
  for (const auto& [id, program] : programs_) {
    for (CacheHolder& holder : program->pending_releases())
      releases.emplace_back(id, std::move(holder));
  }
  std::sort(releases.begin(), releases.end());
  return releases;
}

std::vector<ProgramId> ProgramShard::RemoveFinished() {
  std::vector<ProgramId> removed;
  std::lock_guard lock(mutex_);
  for (auto entry = programs_.begin(); entry != programs_.end();) {
    if (!entry->second->removable()) {
      ++entry;
      continue;
    }
    dropped_answers_ += entry->second->dropped_answers();
    removed.push_back(entry->first);
    entry = programs_.erase(entry);
  }
  std::sort(removed.begin(), removed.end());
  return removed;
}

void ProgramShard::Remove(const ProgramId& id) {
  std::lock_guard lock(mutex_);
  Program* program = Find(id);
  if (program == nullptr)
    return;
  // A child that was never stored did not take effect, so its share returns to
  // the parent.
  if (program->head_version() == 0 && !program->spec().parent.empty()) {
    Program* parent = Find(program->spec().parent);
    if (parent != nullptr && parent->children().contains(id)) {
      parent->ChildSettled(id, 0);
      Enqueue(*parent);
    }
  }
  dropped_answers_ += program->dropped_answers();
  RemoveLinks(id);
  programs_.erase(id);
}

std::uint64_t ProgramShard::dropped_answers() const {
  std::lock_guard lock(mutex_);
  std::uint64_t total = dropped_answers_;
  for (const auto& [id, program] : programs_)
    total += program->dropped_answers();
  return total;
}

void ProgramShard::Drop() {
  std::lock_guard lock(mutex_);
  for (const auto& [id, program] : programs_)
    dropped_answers_ += program->dropped_answers();
  dropped_ = true;
  programs_.clear();
  commit_queue_.clear();
  queued_.clear();
  links_.clear();
  pending_links_.clear();
  deferred_returns_.clear();
}

bool ProgramShard::dropped() const {
  std::lock_guard lock(mutex_);
  return dropped_;
}

void ProgramShard::RequireOwned() const {
  if (dropped_) {
    throw NotRunError(
        ErrorCode::kNotOwner, Step::kAdmit,
        "shard " + std::to_string(shard()) + " is owned elsewhere");
  }
}

Program& ProgramShard::Require(const ProgramId& id) {
  RequireOwned();
  if (Program* program = Find(id))
    return *program;
  throw NotRunError(ErrorCode::kNotFound, Step::kAdmit,
                    "no program " + id.text());
}

Program* ProgramShard::Find(const ProgramId& id) {
  auto entry = programs_.find(id);
  return entry == programs_.end() ? nullptr : entry->second.get();
}

void ProgramShard::AfterChange(Program& program) {
  Enqueue(program);
  const ProgramSpec& spec = program.spec();
  if (spec.parent.empty() || !program.settled() || program.share_returned())
    return;
  Program* parent = Find(spec.parent);
  if (parent == nullptr || !parent->children().contains(program.id()))
    return;
  if (CommitGroup(parent->id()).size() >= settings_.max_linked_programs) {
    deferred_returns_.insert(program.id());
    return;
  }
  parent->ChildSettled(program.id(), program.budget().spent());
  program.MarkShareReturned();
  AddLink(parent->id(), program.id());
  Enqueue(program);
  AfterChange(*parent);
}

void ProgramShard::Enqueue(const Program& program) {
  bool changed = program.revision() > program.durable_revision();
  if (changed && queued_.insert(program.id()).second)
    commit_queue_.push_back(program.id());
}

void ProgramShard::AddLink(const ProgramId& parent, const ProgramId& child) {
  links_.emplace(parent, child);
  links_.emplace(child, parent);
}

void ProgramShard::RemoveLinks(const ProgramId& id) {
  auto involves = [&id](const Link& link) {
    return link.first == id || link.second == id;
  };
  std::erase_if(links_, involves);
  std::erase_if(pending_links_, involves);
}

std::set<ProgramId> ProgramShard::CommitGroup(const ProgramId& id) const {
  std::set<ProgramId> group{id};
  std::vector<ProgramId> unvisited{id};
  while (!unvisited.empty()) {
    ProgramId member = std::move(unvisited.back());
    unvisited.pop_back();
    auto link = links_.lower_bound({member, ProgramId()});
    for (; link != links_.end() && link->first == member; ++link) {
      if (group.insert(link->second).second)
        unvisited.push_back(link->second);
    }
  }
  return group;
}

}  // namespace vanillalever::program
