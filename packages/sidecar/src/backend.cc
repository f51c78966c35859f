#include "backend.h"

#include <utility>

namespace vanillalever::sidecar {
namespace {

constexpr base::Duration kProbeTimeout = base::seconds(1);
constexpr std::size_t kMaxExcerptBytes = 300;

}  // namespace

base::ErrorInfo StatusError(int status,
                            const std::string& body,
                            const std::string& address) {
  base::ErrorInfo info;
  info.code = base::ErrorCode::kBackendFailed;
  info.step = base::Step::kRun;
  info.peer = address;
  info.message = "status " + std::to_string(status) + ": " +
                 body.substr(0, kMaxExcerptBytes);
  info.ran = status / 100 == 4 ? base::ExecutionStatus::kRan
                               : base::ExecutionStatus::kUnknown;
  return info;
}

bool IsConnectionLost(const http::ClientResult& response) {
  return response.error && !response.unusable_response &&
         response.error->code == base::ErrorCode::kUnavailable &&
         response.error->step != base::Step::kConnect;
}

void ProbeServer(http::Client& client,
                 const std::string& address,
                 std::function<void(bool reachable)> on_done) {
  http::ClientRequest request;
  request.address = address;
  request.target = "/load";
  request.timeout = kProbeTimeout;
  request.new_connection = true;
  client.Send(std::move(request), [on_done = std::move(on_done)](
                                      http::ClientResult result) {
    // A server that hangs but has not crashed still accepts connections.
    on_done(!result.error || result.error->step != base::Step::kConnect);
  });
}

}  // namespace vanillalever::sidecar
