#include "vanillalever/http/blocking_client.h"

#include <future>
#include <utility>

namespace vanillalever::http {

BlockingClient::BlockingClient(ClientSettings settings)
    : threads_(1), client_(threads_, settings) {}

ClientResult BlockingClient::Send(ClientRequest request, DataCallback on_data) {
  std::promise<ClientResult> done;
  auto result = done.get_future();
  client_.Send(
      std::move(request),
      [&done](ClientResult value) { done.set_value(std::move(value)); },
      std::move(on_data));
  return result.get();
}

}  // namespace vanillalever::http
