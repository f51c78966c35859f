#include "vanillalever/http/client.h"

#include "call.h"

namespace vanillalever::http {

Client::Client(IoThreads& threads, ClientSettings settings)
    : threads_(threads),
      settings_(settings),
      pool_(std::make_shared<ConnectionPool>(settings.max_idle_per_address,
                                             settings.max_connection_age)),
      budget_(std::make_shared<ResponseBudget>(settings.max_total_bytes)) {}

Client::~Client() = default;

std::shared_ptr<ClientCall> Client::Send(ClientRequest request,
                                         DoneCallback on_done,
                                         DataCallback on_data) {
  auto call = std::make_shared<Call>(threads_.context(), settings_, pool_,
                                     budget_, std::move(request),
                                     std::move(on_done), std::move(on_data));
  call->Start();
  return call;
}

base::TimePoint Client::last_large_response() const {
  return pool_->last_large_response();
}

base::TimePoint Client::last_slow_response() const {
  return pool_->last_slow_response();
}

}  // namespace vanillalever::http
