#ifndef VANILLALEVER_SIDECAR_SIDECAR_H_
#define VANILLALEVER_SIDECAR_SIDECAR_H_

#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/sidecar/sidecar_settings.h"

namespace vanillalever::sidecar {

class SidecarImpl;

// The process beside one backend server: queues and runs calls for it, keeps
// results until they are durable, releases cache, reports load.
class Sidecar {
 public:
  // Starts to listen. Throws base::Error when an address cannot be bound.
  explicit Sidecar(const SidecarSettings& settings);
  ~Sidecar();

  // "ip:port" of the inner protocol, and of health and metrics.
  std::string rpc_address() const;
  std::string http_address() const;

  // Refuses new work as not run, and waits until work in flight has ended and
  // its results are acknowledged, at most `limit`. Returns whether all ended.
  bool Drain(base::Duration limit);

 private:
  std::unique_ptr<SidecarImpl> impl_;
};

}  // namespace vanillalever::sidecar

#endif  // VANILLALEVER_SIDECAR_SIDECAR_H_
