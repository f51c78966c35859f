#ifndef VANILLALEVER_CTL_HTTP_ADMIN_CHANNEL_H_
#define VANILLALEVER_CTL_HTTP_ADMIN_CHANNEL_H_

#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/ctl/admin_channel.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::ctl {

// AdminChannel over HTTP/1.1. Every request uses a new connection, so that a
// failure to connect proves that the request was not received.
class HttpAdminChannel final : public AdminChannel {
 public:
  // `entry` is "host:port"; `token` may be empty.
  HttpAdminChannel(std::string entry,
                   std::string token,
                   base::Duration timeout);

  http::ClientResult Send(const std::string& method,
                          const std::string& target,
                          const std::string& body) override;

 private:
  std::string entry_;
  std::string token_;
  // Timeout of a whole request, response included.
  base::Duration timeout_;
  http::BlockingClient client_;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_HTTP_ADMIN_CHANNEL_H_
