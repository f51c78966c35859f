#include "vanillalever/ctl/http_admin_channel.h"

#include <utility>

namespace vanillalever::ctl {

HttpAdminChannel::HttpAdminChannel(std::string entry,
                                   std::string token,
                                   base::Duration timeout)
    : entry_(std::move(entry)), token_(std::move(token)), timeout_(timeout) {}

http::ClientResult HttpAdminChannel::Send(const std::string& method,
                                          const std::string& target,
                                          const std::string& body) {
  http::ClientRequest request;
  request.address = entry_;
  request.method = method;
  request.target = target;
  request.body = body;
  request.timeout = timeout_;
  request.new_connection = true;
  if (!token_.empty())
    request.headers.emplace_back("Authorization", "Bearer " + token_);
  return client_.Send(std::move(request));
}

}  // namespace vanillalever::ctl
