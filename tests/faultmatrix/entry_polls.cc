#include <utility>

#include "entry_model.h"
#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kSidecarTimeout = milliseconds(400);

}  // namespace

void EntryModel::PollInstances() {
  TimePoint sent = world_.simulator().now();
  world_.platform().ReadInstances(
      host_,
      [this, sent](const FakePlatform::Instances& list) {
        listed_ = list;
        instances_.OnListRead(list, sent, world_.simulator().now());
      },
      [](bool) {});
}

void EntryModel::PollReports() {
  for (const membership::ListedInstance& listed : listed_) {
    SidecarModel* sidecar = world_.sidecar(listed.address);
    if (sidecar == nullptr || world_.reports_lost())
      continue;
    TimePoint sent = world_.simulator().now();
    auto version = config_->current();
    world_.network().Call<ReportReply>(
        host_, sidecar->host(), kSidecarTimeout,
        [sidecar, version](const std::function<void(ReportReply)>& respond) {
          respond(sidecar->Report(version));
        },
        [this, sent, address = listed.address](const ReportReply& reply) {
          instances_.OnReport({address, reply.incarnation, reply.leaving}, sent,
                              world_.simulator().now());
        },
        [](bool) {});
  }
}

void EntryModel::ReleaseTick() {
  TimePoint now = world_.simulator().now();
  for (auto& [number, shard] : shards_) {
    if (!shard.ready)
      continue;
    for (const auto& release : shard.programs->PendingReleases()) {
      const ProgramId& id = release.first;
      const program::CacheHolder& holder = release.second;
      if (instances_.IncarnationEnded(holder.server, holder.sidecar_incarnation, now)) {
        Try(id, [&](program::Program& program) {
          program.ReleaseAcknowledged(holder);
        });
        ScheduleCommit();
        continue;
      }
      if (!world_.rule(Rule::kReleaseRetry) &&
          !released_once_.insert(release).second) {
        continue;
      }
      SendRelease(id, holder, shard.programs->fence());
    }
    shard.programs->RemoveFinished();
  }
}

void EntryModel::SendRelease(const ProgramId& id,
                             const program::CacheHolder& holder,
                             std::uint64_t fence) {
  SidecarModel* sidecar = world_.sidecar(holder.server);
  if (sidecar == nullptr ||
      sidecar->incarnation() != holder.sidecar_incarnation)
    return;
  std::string incarnation;
  Try(id, [&](program::Program& program) {
    incarnation = program.spec().incarnation;
  });
  auto send = [this, sidecar, id, holder, fence, incarnation] {
    world_.network().Call<bool>(
        host_, sidecar->host(), kSidecarTimeout,
        [sidecar, id, fence,
         incarnation](const std::function<void(bool)>& respond) {
          sidecar->Release({id.text(), incarnation}, id.shard(), fence,
                           [respond] { respond(true); });
        },
        [this, id, holder](bool) {
          Try(id, [&](program::Program& program) {
            program.ReleaseAcknowledged(holder);
          });
          ScheduleCommit();
        },
        [](bool) {});
  };
  world_.Probe(PathStep::kRelease, host_, this, holder.server, true, send);
}

void EntryModel::ClearFormer(std::uint32_t number) {
  Shard& shard = shards_[number];
  for (const std::string& token : shard.former_intents) {
    if (settling_.count(token) > 0 || acks_.count(token) > 0)
      return;
  }
  if (std::exchange(shard.former_cleared, true))
    return;
  std::uint64_t fence = shard.programs->fence();
  for (const membership::ListedInstance& listed : listed_) {
    SidecarModel* sidecar = world_.sidecar(listed.address);
    if (sidecar == nullptr)
      continue;
    world_.network().Call<bool>(
        host_, sidecar->host(), kSidecarTimeout,
        [sidecar, number, fence](const std::function<void(bool)>& respond) {
          sidecar->AcknowledgeFormer(number, fence);
          respond(true);
        },
        [](bool) {}, [](bool) {});
  }
}

void EntryModel::PollConfig() {
  TimePoint sent = world_.simulator().now();
  world_.platform().Read(
      host_, std::string(config::kHeadKey),
      [this, sent](const std::vector<TableRow>& rows) {
        if (!rows.empty())
          OnConfigHead(config::DecodeHead(rows[0].value).number, sent);
      },
      [](bool) {});
}

void EntryModel::OnConfigHead(std::int64_t number, TimePoint sent) {
  auto refreshed = [this, sent] {
    config_fresh_ = config_fresh_ || sent >= resumed_at_;
  };
  if (number <= config_->number() && world_.rule(Rule::kVersionCheck)) {
    refreshed();
    return;
  }
  std::string key = config::BodyKey(number);
  world_.platform().Read(
      host_, key,
      [this, key, refreshed](const std::vector<TableRow>& rows) {
        for (const TableRow& row : rows) {
          if (row.key != key)
            continue;
          world_.Offer(config_, std::make_shared<config::ConfigBody>(
                                    config::DecodeBody(row.value)));
          refreshed();
        }
      },
      [](bool) {});
}

}  // namespace vanillalever::faultmatrix
