#include <utility>

#include "backend.h"

namespace vanillalever::sidecar {
namespace {

class ServiceBackend final : public Backend {
 public:
  ServiceBackend(http::Client& client, std::string address)
      : client_(client), address_(std::move(address)) {}

  std::shared_ptr<http::ClientCall> Run(const protocol::ExecuteRequest& request,
                                        base::Duration timeout,
                                        TokenCallback /*on_token*/,
                                        DoneCallback on_done) override {
    http::ClientRequest call;
    call.address = address_;
    call.method = "POST";
    call.target = "/" + request.operation;
    call.body = request.body;
    call.timeout = timeout;
    call.new_connection = !request.repeatable;
    call.headers = {{"Idempotency-Key", request.work_token},
                    {"X-Program", request.program},
                    {"X-Turn", std::to_string(request.turn)}};
    return client_.Send(
        std::move(call), [address = address_, on_done = std::move(on_done)](
                             http::ClientResult response) {
          BackendResult result;
          if (response.error) {
            result.connection_lost = IsConnectionLost(response);
            result.error = std::move(response.error);
          } else if (response.status / 100 != 2) {
            result.error = StatusError(response.status, response.body, address);
          }
          result.body = std::move(response.body);
          on_done(std::move(result));
        });
  }

  // Services hold no cache for programs.
  void Release(const CacheRelease& /*release*/,
               std::function<void(bool)> on_done) override {
    on_done(true);
  }

  void Probe(std::function<void(bool)> on_done) override {
    ProbeServer(client_, address_, std::move(on_done));
  }

 private:
  http::Client& client_;
  std::string address_;
};

}  // namespace

std::unique_ptr<Backend> MakeServiceBackend(http::Client& client,
                                            std::string address) {
  return std::make_unique<ServiceBackend>(client, std::move(address));
}

}  // namespace vanillalever::sidecar
