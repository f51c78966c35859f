#ifndef VANILLALEVER_PROTOCOL_SRC_GATE_SERVICE_H_
#define VANILLALEVER_PROTOCOL_SRC_GATE_SERVICE_H_

#include <string>

#include "inner.capnp.h"

namespace vanillalever::protocol {

// Authenticates a peer by the shared key and then gives it access to the node.
// One instance per connection.
class GateService final : public wire::Gate::Server {
 public:
  GateService(const std::string& shared_key,
              wire::Node::Client node,
              bool& authenticated);

  kj::Promise<void> challenge(ChallengeContext context) override;
  kj::Promise<void> login(LoginContext context) override;

 private:
  const std::string& shared_key_;
  wire::Node::Client node_;
  // Owned by the connection; set after successful authentication.
  bool& authenticated_;
  // Nonce of the pending challenge, valid for one login; empty if there is
  // none.
  std::string nonce_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_GATE_SERVICE_H_
