#include "vanillalever/forwarding/rate_limit_log.h"

#include <string>

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {

void LogRateLimit(const ServerSlot& slot, std::string_view source) {
  auto limit = slot.rate_limit.per_second();
  base::LogEvent(base::LogLevel::kInfo, "server_limit",
                 {{"server", slot.server.id},
                  {"per_second", limit ? std::to_string(*limit) : "none"},
                  {"source", std::string(source)}});
}

}  // namespace vanillalever::forwarding
