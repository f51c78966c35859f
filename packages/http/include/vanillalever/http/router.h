#ifndef VANILLALEVER_HTTP_ROUTER_H_
#define VANILLALEVER_HTTP_ROUTER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/http/exchange.h"

namespace vanillalever::http {

// Answers a request, now or later on another thread. May throw base::Error.
using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;

// Maps method and path to handlers. Fill it before the server starts; it is
// read without a lock afterwards.
class Router {
 public:
  // `pattern` is a path whose segments may be placeholders, for example
  // "/v1/programs/{id}/calls". A last segment "{name...}" takes the rest of the
  // path with its slashes.
  void Add(std::string_view method, std::string_view pattern, Handler handler);

  // Fills the placeholders of `request` and returns its handler. Throws
  // base::Error not_found when no route matches, invalid_request when the path
  // exists with another method.
  const Handler& Match(Request& request) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    Handler handler;
  };

  std::vector<Route> routes_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_ROUTER_H_
