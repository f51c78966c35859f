#include "vanillalever/http/response_head.h"

#include <iterator>

#include <boost/beast/core/string.hpp>

namespace vanillalever::http {
namespace {

namespace bhttp = boost::beast::http;

// Range of the statuses of HTTP (RFC 9110, section 15).
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

// Whether the body, if there is one, is in no coding but chunks. Clients do not
// offer to take any other.
bool HasKnownCoding(const bhttp::response_header<>& head) {
  auto [first, last] = head.equal_range(bhttp::field::transfer_encoding);
  if (first == last)
    return true;
  return std::next(first) == last &&
         boost::beast::iequals(first->value(), "chunked");
}

}  // namespace

ResponseKind ClassifyResponse(const bhttp::response_header<>& head,
                              bool head_only) {
  unsigned status = head.result_int();
  if (status < kFirstStatus || status > kLastStatus)
    return ResponseKind::kInvalidStatus;
  if (status == kSwitchingProtocols)
    return ResponseKind::kUpgrade;
  if (status < kFirstFinalStatus)
    return ResponseKind::kInterim;
  bool has_body = !head_only && status != kNoContent && status != kNotModified;
  if (has_body && !HasKnownCoding(head))
    return ResponseKind::kUnknownCoding;
  return ResponseKind::kFinal;
}

}  // namespace vanillalever::http
