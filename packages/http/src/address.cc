#include "vanillalever/http/address.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

namespace vanillalever::http {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view address) {
  std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code error;
  auto host = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [rest, parse_error] =
      std::from_chars(address.data() + colon + 1, end, port);
  if (error || parse_error != std::errc() || rest != end)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(host, port);
}

}  // namespace vanillalever::http
