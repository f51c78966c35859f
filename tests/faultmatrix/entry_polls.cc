#include <utility>

#include "cluster.h"
#include "entry_model.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kSidecarTimeout = milliseconds(400);

}  // namespace

void EntryModel::PollInstances() {
  TimePoint sent = cluster_.simulator().now();
  cluster_.platform().ReadInstances(
      process_,
      [this, sent](const FakePlatform::Instances& list) {
        listed_instances_ = list;
        instances_.OnListRead(list, sent, cluster_.simulator().now());
      },
      [](bool) {});
}

void EntryModel::PollReports() {
  for (const membership::ListedInstance& listed : listed_instances_) {
    SidecarModel* sidecar = cluster_.sidecar(listed.address);
    if (sidecar == nullptr || cluster_.reports_lost())
      continue;
    TimePoint sent = cluster_.simulator().now();
    auto version = config_->current();
    cluster_.network().SendRequest<ReportReply>(
        process_, sidecar->process(), kSidecarTimeout,
        [sidecar, version](const std::function<void(ReportReply)>& respond) {
          respond(sidecar->Report(version));
        },
        [this, sent, address = listed.address](const ReportReply& reply) {
          instances_.OnReport({address, reply.incarnation, reply.leaving}, sent,
                              cluster_.simulator().now());
        },
        [](bool) {});
  }
}

void EntryModel::SendPendingReleases() {
  TimePoint now = cluster_.simulator().now();
  for (auto& [number, shard] : shards_) {
    if (!shard.ready)
      continue;
    for (const auto& release : shard.programs->PendingReleases()) {
      const ProgramId& id = release.first;
      const program::CacheHolder& holder = release.second;
      if (instances_.IncarnationEnded(holder.server, holder.sidecar_incarnation,
                                      now)) {
        WithProgram(id, [&](program::Program& program) {
          program.ReleaseAcknowledged(holder);
        });
        ScheduleCommit();
        continue;
      }
      if (!cluster_.enabled(Safeguard::kReleaseRetry) &&
          !sent_releases_.insert(release).second) {
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
  SidecarModel* sidecar = cluster_.sidecar(holder.server);
  if (sidecar == nullptr ||
      sidecar->incarnation() != holder.sidecar_incarnation)
    return;
  std::string incarnation;
  WithProgram(id, [&](program::Program& program) {
    incarnation = program.spec().incarnation;
  });
  auto send = [this, sidecar, id, holder, fence, incarnation] {
    cluster_.network().SendRequest<bool>(
        process_, sidecar->process(), kSidecarTimeout,
        [sidecar, id, fence,
         incarnation](const std::function<void(bool)>& respond) {
          sidecar->Release({id.text(), incarnation}, id.shard(), fence,
                           [respond] { respond(true); });
        },
        [this, id, holder](bool) {
          WithProgram(id, [&](program::Program& program) {
            program.ReleaseAcknowledged(holder);
          });
          ScheduleCommit();
        },
        [](bool) {});
  };
  cluster_.InjectFaults(PathStep::kRelease, process_, this, holder.server, true,
                        send);
}

void EntryModel::AcknowledgePreviousOwners(std::uint32_t number) {
  Shard& shard = shards_[number];
  for (const std::string& token : shard.previous_owner_intents) {
    if (pending_settlements_.count(token) > 0 ||
        pending_acknowledgements_.count(token) > 0)
      return;
  }
  if (std::exchange(shard.previous_owners_acknowledged, true))
    return;
  std::uint64_t fence = shard.programs->fence();
  for (const membership::ListedInstance& listed : listed_instances_) {
    SidecarModel* sidecar = cluster_.sidecar(listed.address);
    if (sidecar == nullptr)
      continue;
    cluster_.network().SendRequest<bool>(
        process_, sidecar->process(), kSidecarTimeout,
        [sidecar, number, fence](const std::function<void(bool)>& respond) {
          sidecar->AcknowledgePreviousOwners(number, fence);
          respond(true);
        },
        [](bool) {}, [](bool) {});
  }
}

void EntryModel::PollConfig() {
  TimePoint sent = cluster_.simulator().now();
  cluster_.platform().Read(
      process_, std::string(config::kHeadKey),
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
  if (number <= config_->number() &&
      cluster_.enabled(Safeguard::kVersionCheck)) {
    refreshed();
    return;
  }
  std::string key = config::BodyKey(number);
  cluster_.platform().Read(
      process_, key,
      [this, key, refreshed](const std::vector<TableRow>& rows) {
        for (const TableRow& row : rows) {
          if (row.key != key)
            continue;
          cluster_.OfferConfig(config_, std::make_shared<config::ConfigBody>(
                                            config::DecodeBody(row.value)));
          refreshed();
        }
      },
      [](bool) {});
}

}  // namespace vanillalever::faultmatrix
