#ifndef VANILLALEVER_HTTP_BLOCKING_CLIENT_H_
#define VANILLALEVER_HTTP_BLOCKING_CLIENT_H_

#include "vanillalever/http/client.h"

namespace vanillalever::http {

// Client that blocks the calling thread until the response is complete.
// Thread-safe; several threads may send at the same time. Must not be used from
// an IoThreads thread.
class BlockingClient {
 public:
  explicit BlockingClient(ClientSettings settings = {});

  // Reports errors in the result; does not throw them.
  ClientResult Send(ClientRequest request, DataCallback on_data = nullptr);

 private:
  IoThreads threads_;
  Client client_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_BLOCKING_CLIENT_H_
