#ifndef VANILLALEVER_HTTP_ADDRESS_H_
#define VANILLALEVER_HTTP_ADDRESS_H_

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace vanillalever::http {

// Parses "ip:port". Returns nullopt if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view address);

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_ADDRESS_H_
