#include "vanillalever/forwarding/server_log.h"

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {

void LogRateLimit(const ServerSlot& slot, std::string_view source) {
  auto limit = slot.rate_limit.per_second();
  base::LogEvent(base::LogLevel::kInfo, "server_limit",
                 {{"server", slot.server.id},
                  {"per_second", limit ? std::to_string(*limit) : "none"},
                  {"source", std::string(source)}});
}

void LogLeaving(const std::string& server_id, std::string_view source) {
  base::LogEvent(base::LogLevel::kInfo, "server_leaving",
                 {{"server", server_id}, {"source", std::string(source)}});
}

}  // namespace vanillalever::forwarding
