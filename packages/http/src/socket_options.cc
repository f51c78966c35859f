#include "vanillalever/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>

namespace vanillalever::http {
namespace {

using boost::asio::ip::tcp;

// TCP_USER_TIMEOUT: well above any round trip, below the callers' timeouts.
constexpr unsigned kUserTimeoutMs = 2000;
// Keep-alive probes: an unresponsive peer is detected after 3 s.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

template <typename T>
void SetOption(int socket, int level, int name, T value) {
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetUserTimeout(tcp::socket& socket, base::Duration timeout) {
  auto ms = std::chrono::duration_cast<base::milliseconds>(timeout).count();
  SetOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(std::max<std::int64_t>(ms, 1)));
}

void ConfigureSocket(tcp::socket& socket) {
  int handle = socket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace vanillalever::http
