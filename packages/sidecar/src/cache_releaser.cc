#include "cache_releaser.h"

#include <charconv>
#include <chrono>
#include <string>
#include <utility>

namespace vanillalever::sidecar {
namespace {

// Program ids start with the shard number.
std::uint32_t ShardOf(const std::string& program) {
  std::uint32_t shard = 0;
  std::from_chars(program.data(), program.data() + program.size(), shard);
  return shard;
}

base::ErrorInfo ReleaseError(base::ErrorCode code, const std::string& message) {
  base::ErrorInfo info;
  info.code = code;
  info.step = base::Step::kRelease;
  info.message = message;
  return info;
}

}  // namespace

CacheReleaser::CacheReleaser(Backend& backend, base::CounterRegistry& counters)
    : backend_(backend),
      confirmed_releases_(
          counters.counter("vl_sidecar_releases_total",
                           "Cache releases that the backend server "
                           "confirmed.")),
      leases_({}) {}

void CacheReleaser::RecordFence(std::uint32_t shard, std::uint64_t fence) {
  std::lock_guard lock(mutex_);
  fences_.CheckAndUpdate(shard, fence);
}

void CacheReleaser::Begin(const execution::CacheHolder& holder,
                          base::TimePoint now) {
  std::lock_guard lock(mutex_);
  leases_.Begin(holder, now);
}

void CacheReleaser::End(const execution::CacheHolder& holder,
                        std::uint64_t tokens,
                        base::TimePoint now) {
  std::lock_guard lock(mutex_);
  leases_.End(holder, tokens, now);
}

void CacheReleaser::Release(const protocol::ReleaseRequest& request,
                            Responder responder) {
  base::TimePoint now = std::chrono::steady_clock::now();
  std::optional<base::ErrorInfo> error;
  std::vector<execution::ReleaseCommand> due;
  {
    std::lock_guard lock(mutex_);
    execution::CacheHolder holder = {request.program,
                                     request.program_incarnation};
    if (fences_.CheckAndUpdate(request.shard, request.fence) ==
        membership::FenceCheck::kStale) {
      error = ReleaseError(base::ErrorCode::kNotOwner, "stale fencing token");
    } else if (leases_.Release(holder, now) ==
               execution::ReleaseOutcome::kDeferred) {
      error = ReleaseError(base::ErrorCode::kUnavailable,
                           "a call of the program runs");
    } else {
      pending_responders_[holder].push_back(responder);
    }
    due = leases_.TakeDueReleases(now);
  }
  if (error)
    responder.done(error);
  Send(due);
}

void CacheReleaser::Tick(base::TimePoint now) {
  std::vector<execution::ReleaseCommand> due;
  {
    std::lock_guard lock(mutex_);
    due = leases_.TakeDueReleases(now);
  }
  Send(due);
}

void CacheReleaser::Send(
    const std::vector<execution::ReleaseCommand>& commands) {
  for (const execution::ReleaseCommand& command : commands) {
    CacheRelease release;
    release.cache_key =
        command.holder.program + "#" + command.holder.incarnation;
    release.shard = ShardOf(command.holder.program);
    {
      std::lock_guard lock(mutex_);
      release.fence = fences_.highest(release.shard);
    }
    backend_.Release(release, [this, command](bool confirmed) {
      OnReleaseDone(command, confirmed);
    });
  }
}

// Forwards the backend server's response to the owners that wait for the
// release. They retry after a failure.
void CacheReleaser::OnReleaseDone(const execution::ReleaseCommand& command,
                                  bool confirmed) {
  std::vector<Responder> responders;
  {
    std::lock_guard lock(mutex_);
    if (confirmed) {
      confirmed_releases_.Add();
      leases_.Confirm(command);
    }
    auto node = pending_responders_.extract(command.holder);
    if (!node.empty())
      responders = std::move(node.mapped());
  }
  std::optional<base::ErrorInfo> error;
  if (!confirmed) {
    error = ReleaseError(base::ErrorCode::kUnavailable,
                         "the backend server did not confirm the release");
  }
  for (const Responder& responder : responders)
    responder.done(error);
}

}  // namespace vanillalever::sidecar
