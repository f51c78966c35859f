#ifndef VANILLALEVER_PROTOCOL_SRC_GATE_SERVICE_H_
#define VANILLALEVER_PROTOCOL_SRC_GATE_SERVICE_H_

#include <string>

#include "inner.capnp.h"

namespace vanillalever::protocol {

// Hands out the node to a peer that proves the shared key. One per connection.
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
  // Owned by the connection; set after a valid proof.
  bool& authenticated_;
  // Empty until a challenge was made and after it was used.
  std::string nonce_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_GATE_SERVICE_H_
