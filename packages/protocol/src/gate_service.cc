#include "gate_service.h"

#include <utility>

#include <kj/debug.h>

#include "shared_key.h"

namespace vanillalever::protocol {

GateService::GateService(const std::string& shared_key,
                         wire::Node::Client node,
                         bool& authenticated)
    : shared_key_(shared_key),
      node_(kj::mv(node)),
      authenticated_(authenticated) {}

kj::Promise<void> GateService::challenge(ChallengeContext context) {
  nonce_ = MakeNonce();
  context.getResults().setNonce(
      {reinterpret_cast<const kj::byte*>(nonce_.data()), nonce_.size()});
  return kj::READY_NOW;
}

kj::Promise<void> GateService::login(LoginContext context) {
  auto proof = context.getParams().getProof();
  std::string nonce = std::exchange(nonce_, {});
  bool valid = !nonce.empty() &&
               IsProofValid(shared_key_, nonce,
                            {reinterpret_cast<const char*>(proof.begin()),
                             proof.size()});
  KJ_REQUIRE(valid, "the peer does not know the shared key");
  authenticated_ = true;
  context.getResults().setNode(node_);
  return kj::READY_NOW;
}

}  // namespace vanillalever::protocol
