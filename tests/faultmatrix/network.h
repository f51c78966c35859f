#ifndef VANILLALEVER_TESTS_FAULTMATRIX_NETWORK_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulator.h"

namespace vanillalever::faultmatrix {

// Faults of responses to `execute` requests.
enum class ResponseFault { kNone, kDelayed, kDuplicated };

// Transports requests and responses between processes, with network faults.
class Network {
 public:
  // Receives whether the failed request may have been delivered.
  using OnFailure = std::function<void(bool maybe_delivered)>;

  explicit Network(Simulator& simulator) : simulator_(simulator) {}

  // Sends a request. `handle` runs at `to` with a function that sends the
  // response. `on_reply` runs at `from` for every response that arrives, even
  // after the timeout and possibly more than once. `on_failure` runs at most
  // once, at the timeout or when the connection is closed.
  template <typename Response>
  void SendRequest(Process& from,
                   Process& to,
                   Duration timeout,
                   std::function<void(std::function<void(Response)>)> handle,
                   std::function<void(Response)> on_reply,
                   OnFailure on_failure) {
    auto request = OpenRequest(from, to, std::move(on_failure));
    if (!request)
      return;
    auto respond = [this, request, on_reply](Response response) {
      DeliverResponse(request, [request, on_reply, response] {
        request->replied = true;
        on_reply(response);
      });
    };
    DeliverRequest(request, timeout,
                   [handle = std::move(handle), respond] { handle(respond); });
  }

  // Partitions two addresses for a time. Both sides see their connections
  // close, unless `half_open` is set: then messages to `second` still arrive
  // and its responses are dropped silently.
  void Partition(const std::string& first,
                 const std::string& second,
                 Duration time,
                 bool half_open);
  // Whether a partition affects the address.
  bool partitioned(const std::string& address) const;
  // Fails the pending requests to a terminated process.
  void CloseConnections(const Process& process);
  // Applies a fault to the next response of a sidecar.
  void InjectResponseFault(ResponseFault fault) {
    next_response_fault_ = fault;
  }
  // Registers the address of a sidecar, for response faults.
  void AddSidecarAddress(const std::string& address) {
    sidecar_addresses_.insert(address);
  }

 private:
  struct PendingRequest {
    Process& from;
    Process& to;
    OnFailure on_failure;
    bool replied = false;
    bool failed = false;
  };
  struct LinkPartition {
    TimePoint until;
    bool half_open = false;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  PendingRequestPtr OpenRequest(Process& from,
                                Process& to,
                                OnFailure on_failure);
  void DeliverRequest(const PendingRequestPtr& request,
                      Duration timeout,
                      std::function<void()> arrive);
  void DeliverResponse(const PendingRequestPtr& request,
                       std::function<void()> arrive);
  void Fail(const PendingRequestPtr& request, bool maybe_delivered);
  // The active partition for messages from one address to another, or null.
  const LinkPartition* FindPartition(const std::string& from,
                                     const std::string& to) const;

  Simulator& simulator_;
  std::map<std::pair<std::string, std::string>, LinkPartition> partitions_;
  std::vector<std::weak_ptr<PendingRequest>> pending_requests_;
  std::set<std::string> sidecar_addresses_;
  ResponseFault next_response_fault_ = ResponseFault::kNone;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_NETWORK_H_
