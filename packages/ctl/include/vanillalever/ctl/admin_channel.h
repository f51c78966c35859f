#ifndef VANILLALEVER_CTL_ADMIN_CHANNEL_H_
#define VANILLALEVER_CTL_ADMIN_CHANNEL_H_

#include <string>

#include "vanillalever/http/client.h"

namespace vanillalever::ctl {

// Sends requests to an entry's admin listener.
class AdminChannel {
 public:
  virtual ~AdminChannel() = default;

  // Blocks until the response is complete or the request has failed. Failures
  // are returned in the result.
  virtual http::ClientResult Send(const std::string& method,
                                  const std::string& target,
                                  const std::string& body) = 0;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_ADMIN_CHANNEL_H_
