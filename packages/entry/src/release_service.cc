#include "release_service.h"

namespace vanillalever::entry {
namespace {

constexpr base::Duration kReleaseTimeout = base::seconds(2);

}  // namespace

ReleaseService::ReleaseService(EntryContext& context)
    : context_(context),
      sent_(context.counters.counter("vl_entry_releases_sent_total",
                                     "Cache release commands sent.")),
      confirmed_(context.counters.counter("vl_entry_releases_confirmed_total",
                                          "Cache releases confirmed.")) {}

void ReleaseService::Step() {
  for (const ShardPtr& shard : context_.shards.all()) {
    try {
      for (const auto& [id, holder] : shard->PendingReleases())
        Release(shard, id, holder);
      for (const program::ProgramId& id : shard->RemoveFinished())
        context_.servers.EndProgram(id.text());
    } catch (const base::Error&) {
      // The shard was dropped; its new owner continues.
    }
  }
}

void ReleaseService::Release(const ShardPtr& shard,
                             const program::ProgramId& id,
                             const program::CacheHolder& holder) {
  if (context_.servers.HasEnded(holder.server, holder.sidecar_incarnation))
    return Confirm(shard, id, holder);
  {
    std::lock_guard lock(mutex_);
    if (!in_flight_.emplace(id.text(), holder.server).second)
      return;
  }
  protocol::ReleaseRequest request;
  request.program = id.text();
  request.program_incarnation = shard->With(
      id, [](program::Program& program) { return program.spec().incarnation; });
  request.shard = shard->shard();
  request.fence = shard->fence();
  auto client = context_.servers.ClientFor(holder.server);
  if (!client)
    return;
  sent_.Add();
  client->Release(std::move(request), kReleaseTimeout,
                  [this, shard, id,
                   holder](const protocol::Outcome<protocol::Empty>& outcome) {
                    {
                      std::lock_guard lock(mutex_);
                      in_flight_.erase({id.text(), holder.server});
                    }
                    if (!outcome.error)
                      Confirm(shard, id, holder);
                  });
}

void ReleaseService::Confirm(const ShardPtr& shard,
                             const program::ProgramId& id,
                             const program::CacheHolder& holder) {
  confirmed_.Add();
  try {
    shard->With(id, [&](program::Program& program) {
      program.ReleaseAcknowledged(holder);
    });
    context_.committer.Wake();
  } catch (const base::Error&) {
    // The shard was dropped; its new owner repeats the release.
  }
}

}  // namespace vanillalever::entry
