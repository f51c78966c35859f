#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "vanillalever/ctl/http_admin_channel.h"
#include "vanillalever/http/server.h"

namespace vanillalever::ctl {
namespace {

// Guards against requests without the operator's token, and against dropping
// the body of an error response.
TEST_CASE("the channel sends token and body and returns status and body") {
  http::Router router;
  router.Add("POST", "/admin/v1/apply",
             [](const std::shared_ptr<http::Exchange>& exchange) {
               http::Response response;
               response.status = 409;
               response.body = exchange->request().bearer_token() + " " +
                               exchange->request().body;
               exchange->Send(response);
             });
  http::IoThreads threads(1);
  http::Server server(threads, {}, router);
  HttpAdminChannel channel(server.address(), "secret", base::seconds(5));
  http::ClientResult result = channel.Send("POST", "/admin/v1/apply", "{}");
  CHECK_FALSE(result.error.has_value());
  CHECK(result.status == 409);
  CHECK(result.body == "secret {}");
}

// Guards against a hung entry that blocks the tool, and against reporting a
// sent request as not run.
TEST_CASE("a request without a response has an unknown outcome") {
  std::shared_ptr<http::Exchange> kept;
  http::Router router;
  router.Add("POST", "/admin/v1/apply",
             [&kept](const std::shared_ptr<http::Exchange>& exchange) {
               kept = exchange;
             });
  http::IoThreads threads(1);
  http::Server server(threads, {}, router);
  HttpAdminChannel channel(server.address(), "", base::milliseconds(200));
  http::ClientResult result = channel.Send("POST", "/admin/v1/apply", "{}");
  // The exchange must be destroyed before the threads that its response would
  // use.
  kept.reset();
  REQUIRE(result.error.has_value());
  CHECK(result.error->ran == base::ExecutionStatus::kUnknown);
}

}  // namespace
}  // namespace vanillalever::ctl
