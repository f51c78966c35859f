#include "vanillalever/http/response_head.h"

namespace vanillalever::http {
namespace {

// Range of the statuses of HTTP (RFC 9110, section 15).
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;

}  // namespace

ResponseKind ClassifyResponse(unsigned status) {
  if (status < kFirstStatus || status > kLastStatus)
    return ResponseKind::kInvalidStatus;
  if (status == kSwitchingProtocols)
    return ResponseKind::kUpgrade;
  return status < kFirstFinalStatus ? ResponseKind::kInterim
                                    : ResponseKind::kFinal;
}

}  // namespace vanillalever::http
