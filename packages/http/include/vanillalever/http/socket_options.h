#ifndef VANILLALEVER_HTTP_SOCKET_OPTIONS_H_
#define VANILLALEVER_HTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "vanillalever/base/clock.h"

namespace vanillalever::http {

// Disables Nagle's algorithm, and makes the connection fail within a few
// seconds when the peer's machine no longer responds.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

// Time after which the kernel gives up output that the peer does not
// acknowledge or has no room for.
void SetUserTimeout(boost::asio::ip::tcp::socket& socket,
                    base::Duration timeout);

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SOCKET_OPTIONS_H_
