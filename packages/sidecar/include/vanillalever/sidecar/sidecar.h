#ifndef VANILLALEVER_SIDECAR_SIDECAR_H_
#define VANILLALEVER_SIDECAR_SIDECAR_H_

#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/sidecar/sidecar_settings.h"

namespace vanillalever::sidecar {

class SidecarImpl;

// The process next to one backend server. Queues and executes its calls,
// retains results until they are durable, releases cache and reports load.
class Sidecar {
 public:
  // Starts listening. Throws base::Error if an address cannot be bound.
  explicit Sidecar(const SidecarSettings& settings);
  ~Sidecar();

  // "ip:port" of the protocol between processes; of health checks and metrics.
  std::string rpc_address() const;
  std::string http_address() const;

  // Rejects new work as not run and waits, for at most `timeout`, until work in
  // flight has ended and its results are acknowledged. Returns whether it did.
  bool Drain(base::Duration timeout);

 private:
  std::unique_ptr<SidecarImpl> impl_;
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SIDECAR_H_
