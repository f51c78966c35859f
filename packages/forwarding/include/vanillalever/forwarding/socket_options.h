#ifndef VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_
#define VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace vanillalever::forwarding {

// Disables Nagle's algorithm, and makes the connection fail within a few
// seconds when the peer's machine no longer responds.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_
