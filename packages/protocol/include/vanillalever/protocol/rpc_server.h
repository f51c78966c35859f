#ifndef VANILLALEVER_PROTOCOL_RPC_SERVER_H_
#define VANILLALEVER_PROTOCOL_RPC_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "vanillalever/base/counters.h"
#include "vanillalever/protocol/node_handler.h"
#include "vanillalever/protocol/rpc_loop.h"

namespace vanillalever::protocol {

// Where and for whom a server listens.
struct RpcServerSettings {
  // IP address to listen on; port 0 lets the kernel choose.
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  // Key that peers must prove to know.
  std::string shared_key;
};

class RpcServerImpl;

// Serves the inner protocol. A connection with a malformed or oversized message
// or a wrong key is closed; others are not affected.
class RpcServer {
 public:
  // Throws base::Error (unavailable at connect) when the address cannot be
  // bound. `handler` must outlive the server.
  RpcServer(RpcLoop& loop,
            const RpcServerSettings& settings,
            NodeHandler& handler,
            base::CounterRegistry& counters);
  // Closes all connections.
  ~RpcServer();

  std::uint16_t port() const { return port_; }

 private:
  RpcLoop& loop_;
  std::unique_ptr<RpcServerImpl> impl_;
  std::uint16_t port_ = 0;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_RPC_SERVER_H_
