#ifndef VANILLALEVER_PROTOCOL_RPC_SERVER_H_
#define VANILLALEVER_PROTOCOL_RPC_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "vanillalever/base/counters.h"
#include "vanillalever/protocol/node_handler.h"
#include "vanillalever/protocol/rpc_loop.h"

namespace vanillalever::protocol {

struct RpcServerSettings {
  // IP address to listen on; with port 0, the kernel chooses a port.
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  // Key by which peers authenticate.
  std::string shared_key;
};

class RpcServerImpl;

// Server of the protocol between processes. A connection that sends a malformed
// or oversized message or fails authentication is closed; other connections are
// not affected.
class RpcServer {
 public:
  // Throws base::Error (unavailable at connect) if the address cannot be bound.
  // `handler` must outlive the server.
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
