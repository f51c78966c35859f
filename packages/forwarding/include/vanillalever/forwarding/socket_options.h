#ifndef VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_
#define VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace vanillalever::forwarding {

// Endpoint of "ip:port"; nothing if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

// Sends without delay, and fails within a few seconds when the peer's machine
// no longer answers.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_
