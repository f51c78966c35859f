#ifndef VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_
#define VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace vanillalever::forwarding {

// Sends without delay, and fails within a few seconds when the peer's machine
// no longer answers.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SOCKET_OPTIONS_H_
