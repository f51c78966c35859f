#ifndef VANILLALEVER_HTTP_ROUTER_H_
#define VANILLALEVER_HTTP_ROUTER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalever/http/exchange.h"

namespace vanillalever::http {

// Handles a request; may respond later on another thread. May throw
// base::Error.
using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;

// Maps method and path to handlers. Routes must be added before the server
// starts, because it reads them without a lock.
class Router {
 public:
  // `pattern` is a path whose segments may be placeholders, for example
  // "/v1/programs/{id}/calls". A last segment "{name...}" matches the rest of
  // the path, including slashes.
  void Add(std::string_view method, std::string_view pattern, Handler handler);

  // Returns the handler for `request` and sets request.parameters. Throws
  // base::Error: not_found if no route matches, invalid_request if the path
  // exists only with other methods.
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
