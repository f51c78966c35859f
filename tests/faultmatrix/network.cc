#include "network.h"

namespace vanillalever::faultmatrix {

namespace {

// Time until the sender detects a refused or closed connection.
constexpr Duration kDisconnectDelay = milliseconds(5);

}  // namespace

void Network::Partition(const std::string& first,
                        const std::string& second,
                        Duration time,
                        bool half_open) {
  LinkPartition partition{simulator_.now() + time, half_open};
  partitions_[{second, first}] = partition;
  if (half_open)
    return;
  partitions_[{first, second}] = partition;
  for (const auto& weak : pending_requests_) {
    auto request = weak.lock();
    if (!request)
      continue;
    if (FindPartition(request->from.address(), request->to.address()) !=
            nullptr ||
        FindPartition(request->to.address(), request->from.address()) !=
            nullptr) {
      Fail(request, true);
    }
  }
}

bool Network::partitioned(const std::string& address) const {
  for (const auto& [link, partition] : partitions_) {
    bool concerned = link.first == address || link.second == address;
    if (concerned && simulator_.now() < partition.until)
      return true;
  }
  return false;
}

void Network::CloseConnections(const Process& process) {
  std::vector<std::weak_ptr<PendingRequest>> kept;
  for (const auto& weak : pending_requests_) {
    auto request = weak.lock();
    if (!request)
      continue;
    if (&request->to == &process)
      Fail(request, true);
    else
      kept.push_back(weak);
  }
  pending_requests_ = std::move(kept);
}

Network::PendingRequestPtr Network::OpenRequest(Process& from,
                                                Process& to,
                                                OnFailure on_failure) {
  // A process that a fault has just terminated sends nothing.
  if (!from.alive())
    return nullptr;
  auto request = std::make_shared<PendingRequest>(
      PendingRequest{from, to, std::move(on_failure)});
  const LinkPartition* partition = FindPartition(from.address(), to.address());
  if (!to.alive() || (partition != nullptr && !partition->half_open)) {
    Fail(request, false);
    return nullptr;
  }
  pending_requests_.push_back(request);
  return request;
}

void Network::DeliverRequest(const PendingRequestPtr& request,
                             Duration timeout,
                             std::function<void()> arrive) {
  request->from.Schedule(timeout, [this, request] { Fail(request, true); });
  if (FindPartition(request->from.address(), request->to.address()) != nullptr)
    return;
  request->to.Schedule(simulator_.RandomDuration(1, 4), std::move(arrive));
}

void Network::DeliverResponse(const PendingRequestPtr& request,
                              std::function<void()> arrive) {
  if (FindPartition(request->to.address(), request->from.address()) != nullptr)
    return;
  Duration delay = simulator_.RandomDuration(1, 4);
  if (sidecar_addresses_.count(request->to.address()) > 0) {
    ResponseFault fault =
        std::exchange(next_response_fault_, ResponseFault::kNone);
    if (fault == ResponseFault::kDelayed)
      delay += simulator_.RandomDuration(2000, 9000);
    if (fault == ResponseFault::kDuplicated)
      request->from.Schedule(delay + simulator_.RandomDuration(0, 3000),
                             arrive);
  }
  request->from.Schedule(delay, std::move(arrive));
}

void Network::Fail(const PendingRequestPtr& request, bool maybe_delivered) {
  if (request->replied || std::exchange(request->failed, true))
    return;
  request->from.Schedule(kDisconnectDelay, [request, maybe_delivered] {
    if (!request->replied)
      request->on_failure(maybe_delivered);
  });
}

const Network::LinkPartition* Network::FindPartition(
    const std::string& from,
    const std::string& to) const {
  auto it = partitions_.find({from, to});
  return it != partitions_.end() && simulator_.now() < it->second.until
             ? &it->second
             : nullptr;
}

}  // namespace vanillalever::faultmatrix
