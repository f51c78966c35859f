#ifndef VANILLALEVER_ENTRY_SRC_ADMIN_API_H_
#define VANILLALEVER_ENTRY_SRC_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>

#include "entry_context.h"
#include "program_api.h"
#include "vanillalever/http/router.h"

namespace vanillalever::entry {

// HTTP API for operators. Every request must carry the operators' token.
class AdminApi {
 public:
  AdminApi(EntryContext& context, ProgramApi& programs);

  void AddRoutes(http::Router& router);

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;
  using Action = std::function<http::Response(const http::Request&)>;

  // Adds a route that authenticates the request and runs `action` on a worker
  // thread.
  void Add(http::Router& router,
           const char* method,
           const char* pattern,
           Action action);
  void Authenticate(const http::Request& request) const;

  http::Response Config(const http::Request& request);
  http::Response HandleChange(const http::Request& request, bool apply);
  http::Response History();
  http::Response Status();
  void ShowProgram(const ExchangePtr& exchange);

  EntryContext& context_;
  ProgramApi& programs_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_ADMIN_API_H_
