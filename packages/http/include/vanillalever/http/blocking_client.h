#ifndef VANILLALEVER_HTTP_BLOCKING_CLIENT_H_
#define VANILLALEVER_HTTP_BLOCKING_CLIENT_H_

#include "vanillalever/http/client.h"

namespace vanillalever::http {

// Client whose calls block the calling thread. Thread-safe; several threads may
// wait at a time. Must not be used from an IoThreads thread.
class BlockingClient {
 public:
  explicit BlockingClient(ClientSettings settings = {});

  // Returns errors in the result, does not throw them.
  ClientResult Send(ClientRequest request, DataCallback on_data = nullptr);

 private:
  IoThreads threads_;
  Client client_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_BLOCKING_CLIENT_H_
